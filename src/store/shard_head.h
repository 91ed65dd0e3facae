// The head record of a shard's journal and the decisions of an append.
#ifndef POMELOPOND_STORE_SHARD_HEAD_H_
#define POMELOPOND_STORE_SHARD_HEAD_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/result.h"
#include "store/txn.h"

namespace pomelopond::store {

// One run of the scheduler on one entry host.
struct OwnerId {
  std::string host;
  uint64_t incarnation = 0;

  friend bool operator==(const OwnerId& a, const OwnerId& b) {
    return a.host == b.host && a.incarnation == b.incarnation;
  }
};

// What the store holds under shard/<id>/head. Every append compares its mod revision, so a writer
// that has been replaced fails by position and not by clock.
struct ShardHead {
  int64_t epoch = 0;     // grows by one with each owner
  int64_t position = 0;  // of the last journal record
  std::string write_id;  // of the last append, unique
  std::string owner;     // host id
  uint64_t incarnation = 0;
  int64_t snapshot = 0;       // position that the newest snapshot covers, 0: none
  int64_t snapshot_size = 0;  // chunks of that snapshot
  // Earlier owners that are not proved to have stopped renewing leases. Kept in the head, since the
  // proof that the last owner has stopped says nothing of the owners before it.
  std::vector<OwnerId> unproved;
  bool released = false;  // the owner handed the shard over and has stopped renewing leases

  friend bool operator==(const ShardHead& a, const ShardHead& b) {
    return std::tie(a.epoch, a.position, a.write_id, a.owner, a.incarnation, a.snapshot,
                    a.snapshot_size, a.unproved,
                    a.released) == std::tie(b.epoch, b.position, b.write_id, b.owner, b.incarnation,
                                            b.snapshot, b.snapshot_size, b.unproved, b.released);
  }
};

// A head together with the mod revision it was read at (0: the shard has no head yet).
struct VersionedHead {
  ShardHead head;
  int64_t mod_revision = 0;
};

std::string HeadKey(const std::string& shard);
std::string JournalKey(const std::string& shard, int64_t position);
std::string SnapshotKey(const std::string& shard, int64_t position, int64_t chunk);

std::string Encode(const ShardHead& head);
// Fails with kStoreBadAnswer.
Result<ShardHead> DecodeHead(const std::string& bytes);
Result<VersionedHead> ToVersionedHead(const KeyValue& value);

// The transaction that appends `record` and moves the head from `from` to `to`.
Txn MakeAppend(const std::string& shard, const VersionedHead& from, const ShardHead& to,
               const std::string& record);

enum class AppendOutcome {
  kApplied,          // our write took effect
  kNotApplied,       // it did not and cannot any more, unless the same transaction is sent again
  kReplaced,         // another writer moved the head; our record is not in the journal
  kAppliedReplaced,  // our record is in the journal, and another writer moved the head after it
  kUnknown,          // the journal entry was compacted before we could look
};

// Decides what became of an append whose answer was lost or whose comparison failed, from a read of
// the head and of the journal entry at the appended position made afterwards. `from` is the head
// the append was based on, `to` the one it meant to write. `entry` is the write id found in the
// journal entry, empty when the entry does not exist.
AppendOutcome ResolveAppend(const VersionedHead& from, const ShardHead& to,
                            const VersionedHead& found, const std::string& entry_write_id);

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_SHARD_HEAD_H_
