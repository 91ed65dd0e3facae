#include "store/shard_log.h"

#include "base/json.h"
#include "base/random_id.h"
#include "base/result_code.h"

namespace pomelopond::store {
namespace {

// Prefixes a journal record with the write id of its append. The id lets a writer check whether the
// record at a position is its own.
std::string EncodeEntry(const std::string& record, const std::string& write_id) {
  return write_id + record;
}

constexpr size_t kWriteIdBytes = 32;
constexpr int64_t kRecordsPerRead = 64;

std::string WriteIdOf(const std::string& entry) { return entry.substr(0, kWriteIdBytes); }

std::string RecordOf(const std::string& entry) {
  return entry.size() < kWriteIdBytes ? std::string() : entry.substr(kWriteIdBytes);
}

ShardHead NextHead(const ShardHead& head, const std::string& write_id) {
  ShardHead next = head;
  next.position += 1;
  next.write_id = write_id;
  return next;
}

}  // namespace

ShardLog::ShardLog(std::string shard, StoreCalls store)
    : shard_(std::move(shard)), store_(std::move(store)) {}

ShardLog::ShardLog(std::string shard, StoreClient* store)
    : ShardLog(std::move(shard), CallsOf(store)) {}

Result<VersionedHead> ShardLog::Read() {
  const Result<KeyValue> value = store_.get(HeadKey(shard_));
  if (!value.ok()) return {value.ec, {}};
  return ToVersionedHead(value.value);
}

std::error_code ShardLog::VerifyOwnership() {
  const Result<VersionedHead> found = Read();
  if (!found.ok()) return found.ec;
  return found.value.mod_revision == head_.mod_revision ? ResultCode::kOk : ResultCode::kNotOwner;
}

Result<ShardContents> ShardLog::TakeOver(const VersionedHead& from, const OwnerId& owner,
                                         std::vector<OwnerId> unproved) {
  const std::string write_id = RandomId();
  ShardHead to = NextHead(from.head, write_id);
  to.epoch += 1;
  to.owner = owner.host;
  to.incarnation = owner.incarnation;
  to.unproved = std::move(unproved);
  to.released = false;
  head_ = from;
  // A takeover appends an empty record that only occupies the position.
  const std::error_code ec = Write(to, MakeAppend(shard_, from, to, EncodeEntry({}, write_id)));
  if (ec == ResultCode::kNotOwner) return {ResultCode::kStoreCompareFailed, {}};
  if (ec) return {ec, {}};
  return Load(from.head);
}

Result<ShardContents> ShardLog::Load(const ShardHead& previous) {
  ShardContents contents;
  contents.previous = previous;
  for (int64_t n = 0; n < previous.snapshot_size; ++n) {
    const Result<KeyValue> chunk = store_.get(SnapshotKey(shard_, previous.snapshot, n));
    if (!chunk.ok()) return {chunk.ec, {}};
    if (chunk.value.mod_revision == 0) return {ResultCode::kStoreBadAnswer, {}};
    contents.snapshot += chunk.value.value;
  }
  // Reads many records per call: with a slow store, one call per record would take longer than the
  // workers' leases last.
  const std::string end = JournalKey(shard_, previous.position + 1);
  for (int64_t n = previous.snapshot + 1; n <= previous.position;) {
    const Result<std::vector<KeyValue>> page =
        store_.range(JournalKey(shard_, n), end, kRecordsPerRead);
    if (!page.ok()) return {page.ec, {}};
    if (page.value.empty()) return {ResultCode::kStoreBadAnswer, {}};
    for (const KeyValue& it : page.value) {
      if (it.key != JournalKey(shard_, n++)) return {ResultCode::kStoreBadAnswer, {}};
      std::string record = RecordOf(it.value);
      if (!record.empty()) contents.records.push_back(std::move(record));
    }
  }
  return {{}, std::move(contents)};
}

// The next write must wait until the pending one is resolved, because the pending write may have
// moved the head that the next write is conditional on.
std::error_code ShardLog::ResolvePending() {
  if (!pending_) return {};
  const std::error_code ec = Resolve();
  if (ec == ResultCode::kStoreAnswerLost) return ResultCode::kStoreUnavailable;
  if (ec == ResultCode::kOutcomeUnknown) return ResultCode::kNotOwner;
  return ec;
}

std::error_code ShardLog::Append(const std::string& record, const std::string& write_id) {
  if (const std::error_code ec = ResolvePending()) return ec;
  const ShardHead to = NextHead(head_.head, write_id);
  return Write(to, MakeAppend(shard_, head_, to, EncodeEntry(record, write_id)));
}

std::error_code ShardLog::Compact(const std::string& snapshot, const std::string& write_id) {
  if (const std::error_code ec = ResolvePending()) return ec;
  ShardHead to = NextHead(head_.head, write_id);
  to.snapshot = head_.head.position;
  to.snapshot_size = 0;
  for (size_t from = 0; from < snapshot.size(); from += kSnapshotChunkBytes) {
    Txn chunk;
    chunk.compares.push_back({HeadKey(shard_), head_.mod_revision});
    chunk.puts.push_back({SnapshotKey(shard_, to.snapshot, to.snapshot_size),
                          snapshot.substr(from, kSnapshotChunkBytes), 0});
    const Result<TxnResult> put = store_.commit(chunk);
    // A chunk has no effect until the head refers to it, so a lost answer only wastes the attempt.
    if (!put.ok()) return ResultCode::kStoreUnavailable;
    if (!put.value.succeeded) return ResultCode::kNotOwner;
    to.snapshot_size += 1;
  }
  Txn txn = MakeAppend(shard_, head_, to, EncodeEntry({}, write_id));
  txn.deletes.push_back({JournalKey(shard_, 0), JournalKey(shard_, to.snapshot + 1)});
  if (head_.head.snapshot > 0) {
    txn.deletes.push_back({SnapshotKey(shard_, 0, 0), SnapshotKey(shard_, to.snapshot, 0)});
  }
  return Write(to, txn);
}

std::error_code ShardLog::Release(const std::string& write_id) {
  if (const std::error_code ec = ResolvePending()) return ec;
  ShardHead to = NextHead(head_.head, write_id);
  to.released = true;
  return Write(to, MakeAppend(shard_, head_, to, EncodeEntry({}, write_id)));
}

std::error_code ShardLog::Write(const ShardHead& to, const Txn& txn) {
  const Result<TxnResult> result = store_.commit(txn);
  if (result.ec == ResultCode::kStoreUnavailable) return result.ec;
  if (result.ok() && result.value.succeeded) {
    head_ = {to, result.value.revision};
    return {};
  }
  pending_head_ = to;
  pending_txn_ = txn;
  pending_ = true;
  return Resolve();
}

std::error_code ShardLog::Resolve() {
  if (!pending_) return {};
  Result<VersionedHead> found = Read();
  if (!found.ok()) return ResultCode::kStoreAnswerLost;
  const Result<KeyValue> entry = store_.get(JournalKey(shard_, pending_head_.position));
  if (!entry.ok()) return ResultCode::kStoreAnswerLost;
  const bool replaced = found.value.mod_revision != head_.mod_revision &&
                        found.value.head.write_id != pending_head_.write_id;
  if (replaced && entry.value.mod_revision == 0) {
    // The new owner may have compacted the entry between the reads of the head and of the entry. A
    // head that is read after both shows that snapshot.
    found = Read();
    if (!found.ok()) return ResultCode::kStoreAnswerLost;
  }
  switch (ResolveAppend(head_, pending_head_, found.value, WriteIdOf(entry.value.value))) {
    case AppendOutcome::kApplied:
      pending_ = false;
      head_ = found.value;
      return {};
    case AppendOutcome::kNotApplied:
      return Resend();
    case AppendOutcome::kReplaced:
      pending_ = false;
      return ResultCode::kNotOwner;
    case AppendOutcome::kAppliedReplaced:
    case AppendOutcome::kUnknown:
      pending_ = false;
      return ResultCode::kOutcomeUnknown;
  }
  return ResultCode::kOutcomeUnknown;
}

// The first copy of the transaction may still be in flight, so the append cannot be reported as
// failed. It is safe to send the same transaction again, because at most one copy passes the
// comparison.
std::error_code ShardLog::Resend() {
  const Result<TxnResult> result = store_.commit(pending_txn_);
  if (!result.ok() || !result.value.succeeded) return ResultCode::kStoreAnswerLost;
  pending_ = false;
  head_ = {pending_head_, result.value.revision};
  return {};
}

}  // namespace pomelopond::store
