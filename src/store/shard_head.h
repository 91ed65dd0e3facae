// The head record of a shard's journal, the keys of a shard in the store, and the function that
// decides whether an append took effect.
#ifndef POMELOPOND_STORE_SHARD_HEAD_H_
#define POMELOPOND_STORE_SHARD_HEAD_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/result.h"
#include "store/txn.h"

namespace pomelopond::store {

// Identifies one run of the scheduler process on one entry host.
struct OwnerId {
  std::string host;          // id of the entry host
  uint64_t incarnation = 0;  // random number of the process's run

  friend bool operator==(const OwnerId& a, const OwnerId& b) {
    return a.host == b.host && a.incarnation == b.incarnation;
  }
};

// The value of the key shard/<id>/head. Every append is conditional on the mod revision of this
// key, so an append by a replaced owner fails without any reliance on clocks.
struct ShardHead {
  int64_t epoch = 0;          // incremented with each change of owner
  int64_t position = 0;       // position of the last journal record
  std::string write_id;       // unique id of the last append
  std::string owner;          // host id of the owner
  uint64_t incarnation = 0;   // incarnation of the owner
  int64_t snapshot = 0;       // last position that the newest snapshot covers; 0: no snapshot
  int64_t snapshot_size = 0;  // number of chunks of that snapshot
  // Earlier owners that are not proved to have stopped renewing leases. They are stored in the head
  // because proof that the last owner has stopped does not cover the owners before it.
  std::vector<OwnerId> unproved;
  bool released = false;  // the owner has handed the shard over and has stopped renewing leases

  friend bool operator==(const ShardHead& a, const ShardHead& b) {
    return std::tie(a.epoch, a.position, a.write_id, a.owner, a.incarnation, a.snapshot,
                    a.snapshot_size, a.unproved,
                    a.released) == std::tie(b.epoch, b.position, b.write_id, b.owner, b.incarnation,
                                            b.snapshot, b.snapshot_size, b.unproved, b.released);
  }
};

// A head together with its mod revision when it was read.
struct VersionedHead {
  ShardHead head;
  int64_t mod_revision = 0;  // 0: the shard has no head yet
};

std::string HeadKey(const std::string& shard);
std::string JournalKey(const std::string& shard, int64_t position);
std::string SnapshotKey(const std::string& shard, int64_t position, int64_t chunk);

std::string Encode(const ShardHead& head);
// Fails with kStoreBadAnswer if `bytes` is not an encoded head.
Result<ShardHead> DecodeHead(const std::string& bytes);
Result<VersionedHead> ToVersionedHead(const KeyValue& value);

// Returns the transaction that appends `record` and replaces the head `from` by `to`.
Txn MakeAppend(const std::string& shard, const VersionedHead& from, const ShardHead& to,
               const std::string& record);

enum class AppendOutcome {
  kApplied,          // the append took effect and is the latest one
  kNotApplied,       // the append has not taken effect; a copy in flight or sent again still may
  kReplaced,         // another writer moved the head; the record is not in the journal
  kAppliedReplaced,  // the record is in the journal; another writer moved the head after it
  kUnknown,          // the journal entry was compacted before it could be read
};

// Decides whether an append took effect whose answer was lost or whose comparison failed. `from` is
// the head that the append was based on, and `to` is the head that it tried to write. `found` is
// the head and `entry_write_id` the write id in the journal entry at the appended position, both
// read after the append. `entry_write_id` is empty if the entry does not exist.
AppendOutcome ResolveAppend(const VersionedHead& from, const ShardHead& to,
                            const VersionedHead& found, const std::string& entry_write_id);

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_SHARD_HEAD_H_
