// Reads and writes the journal and snapshots of one shard for its owner.
#ifndef POMELOPOND_STORE_SHARD_LOG_H_
#define POMELOPOND_STORE_SHARD_LOG_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "store/shard_head.h"
#include "store/store_calls.h"

namespace pomelopond::store {

// Size of a snapshot chunk, well below the store's limit of 1 MB per value even with base64
// encoding.
inline constexpr size_t kSnapshotChunkBytes = 512 << 10;

// The state from which a new owner rebuilds the shard.
struct ShardContents {
  ShardHead previous;                // head before the takeover
  std::string snapshot;              // newest snapshot; empty if there is none
  std::vector<std::string> records;  // journal records after the snapshot, in order
};

// Not thread-safe: a shard has at most one append in flight. Calls block on the store.
class ShardLog {
 public:
  ShardLog(std::string shard, StoreCalls store);
  ShardLog(std::string shard, StoreClient* store);

  // Reads the current head from the store.
  Result<VersionedHead> Read();

  // Makes `owner` the owner of the shard with the next epoch and reads the shard's contents. `from`
  // is the head that the takeover replaces. `unproved` are the earlier owners that are not proved
  // to have stopped. Fails with kStoreCompareFailed if another process moved the head first.
  Result<ShardContents> TakeOver(const VersionedHead& from, const OwnerId& owner,
                                 std::vector<OwnerId> unproved);

  // Sets the earlier owners that are not proved to have stopped. The next append stores them.
  void SetUnproved(std::vector<OwnerId> unproved) { head_.head.unproved = std::move(unproved); }

  // Reads the head and checks that this process still owns the shard. Returns kNotOwner if another
  // process owns it, or the error of the store. Must not be called while an append is pending.
  std::error_code VerifyOwnership();

  // Appends one record. The result is one of:
  //   no error: the record is durable.
  //   kStoreUnavailable: the record is not in the journal and never will be. This process still
  //     owns the shard.
  //   kStoreAnswerLost: the outcome is not known yet. Call Resolve() until it is known.
  //   kNotOwner: another process owns the shard, and the record is not in its journal.
  //   kOutcomeUnknown: another process owns the shard, and the record may be in its journal.
  // A pending earlier write is resolved first. While that fails, the record is not sent and the
  // result is kStoreUnavailable.
  std::error_code Append(const std::string& record, const std::string& write_id);

  // Determines the outcome of the pending append, whose answer was lost. Returns the same results
  // as Append().
  std::error_code Resolve();
  bool pending() const { return pending_; }

  // Stores a snapshot that covers all records appended so far, and deletes those records. Fails
  // with the same errors as Append().
  std::error_code Compact(const std::string& snapshot, const std::string& write_id);

  // Releases ownership of the shard with the last append of this owner. Fails with the same errors
  // as Append().
  std::error_code Release(const std::string& write_id);

  int64_t epoch() const { return head_.head.epoch; }
  int64_t position() const { return head_.head.position; }
  int64_t snapshot_position() const { return head_.head.snapshot; }

 private:
  // Resolves a pending earlier write. Returns an error if the next write must not be sent.
  std::error_code ResolvePending();
  Result<ShardContents> Load(const ShardHead& previous);
  std::error_code Write(const ShardHead& to, const Txn& txn);
  std::error_code Resend();

  std::string shard_;
  StoreCalls store_;
  VersionedHead head_;
  ShardHead pending_head_;
  Txn pending_txn_;
  bool pending_ = false;
};

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_SHARD_LOG_H_
