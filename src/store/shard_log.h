// The journal and snapshots of one shard, as its owner writes them.
#ifndef POMELOPOND_STORE_SHARD_LOG_H_
#define POMELOPOND_STORE_SHARD_LOG_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "store/shard_head.h"
#include "store/store_calls.h"

namespace pomelopond::store {

// Snapshot chunks stay well below the store's limit of 1 MB a value, base64 included.
inline constexpr size_t kSnapshotChunkBytes = 512 << 10;

// What a new owner starts from.
struct ShardContents {
  ShardHead previous;                // the head before the takeover
  std::string snapshot;              // empty when there is none
  std::vector<std::string> records;  // journal records after the snapshot, in order
};

// Not thread-safe: one append in flight a shard. Blocks on store calls.
class ShardLog {
 public:
  ShardLog(std::string shard, StoreCalls store);
  ShardLog(std::string shard, StoreClient* store);

  // The head as it is in the store.
  Result<VersionedHead> Read();

  // Takes the shard over from `from` with the next epoch and reads its contents. `unproved` are the
  // earlier owners that are not proved to have stopped. Fails with kStoreCompareFailed when another
  // process was faster.
  Result<ShardContents> TakeOver(const VersionedHead& from, const OwnerId& owner,
                                 std::vector<OwnerId> unproved);

  // Written with the next append.
  void SetUnproved(std::vector<OwnerId> unproved) { head_.head.unproved = std::move(unproved); }

  // Clear when this process still owns the shard, kNotOwner when another one does, else the error
  // of the store. Not while an append is pending.
  std::error_code VerifyOwnership();

  // Appends one record. Clear: it is durable. kStoreUnavailable: it is not and never will be, the
  // shard is still owned. kStoreAnswerLost: not known yet; call Resolve until it is known.
  // kNotOwner: another process owns the shard and the record is not in its journal.
  // kOutcomeUnknown: another process owns the shard and the record may be in its journal.
  // An earlier write that is still pending is resolved first, and while that fails the record is
  // not sent (kStoreUnavailable).
  std::error_code Append(const std::string& record, const std::string& write_id);

  // Finds out what became of the append whose answer was lost; same results as Append.
  std::error_code Resolve();
  bool pending() const { return pending_; }

  // Stores a snapshot that covers all records so far and deletes those records.
  std::error_code Compact(const std::string& snapshot, const std::string& write_id);

  // Gives the shard up: the last append of this owner.
  std::error_code Release(const std::string& write_id);

  int64_t epoch() const { return head_.head.epoch; }
  int64_t position() const { return head_.head.position; }
  int64_t snapshot_position() const { return head_.head.snapshot; }

 private:
  // Resolves an earlier write; not clear when the next one must not be sent.
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
