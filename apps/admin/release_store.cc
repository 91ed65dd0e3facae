#include "apps/admin/release_store.h"

#include <thread>

#include "base/random_id.h"
#include "base/result_code.h"
#include "base/time.h"
#include "release/rebase.h"

namespace pomelopond::apps {
namespace {

constexpr int kCommitAttempts = 5;
// A note whose base is more than this many versions old is not compared with the notes accepted
// since.
constexpr int64_t kMaxRebaseSteps = 1000;
constexpr Duration kCommitRetryDelay = std::chrono::milliseconds(200);

}  // namespace

ReleaseStore::ReleaseStore(store::StoreClient* store) : store_(store) {}

Result<store::KeyValue> ReleaseStore::ReadHead() { return store_->Get(release::kHeadKey); }

Result<release::Release> ReleaseStore::Load(const release::Manifest& manifest) {
  std::map<std::string, std::string> chunks;
  for (const auto& [section, digests] : manifest.chunks) {
    for (const std::string& it : digests) {
      const auto known = chunks_.find(it);
      if (known != chunks_.end()) {
        chunks[it] = known->second;
        continue;
      }
      const Result<store::KeyValue> chunk = store_->Get(release::ChunkKey(it));
      if (!chunk.ok()) return {chunk.ec, {}};
      chunks[it] = chunk.value.value;
    }
  }
  Result<release::Release> joined = release::JoinChunks(manifest, chunks);
  if (joined.ok()) chunks_ = std::move(chunks);
  return joined;
}

Result<release::Release> ReleaseStore::ReadIfNewer(int64_t known_version) {
  const Result<store::KeyValue> head = ReadHead();
  if (!head.ok()) return {head.ec, {}};
  if (head.value.mod_revision == 0) return {{}, release::EmptyRelease()};
  const Result<release::Manifest> manifest = release::DecodeManifest(head.value.value);
  if (!manifest.ok()) return {manifest.ec, {}};
  if (manifest.value.version <= known_version) {
    release::Release unchanged = release::EmptyRelease();
    unchanged.version = manifest.value.version;
    return {{}, std::move(unchanged)};
  }
  return Load(manifest.value);
}

std::error_code ReleaseStore::PutChunks(const release::ChunkedRelease& next) {
  for (const auto& [digest, bytes] : next.chunks) {
    if (chunks_.count(digest) != 0) continue;
    store::Txn txn;
    // The key of a chunk is the digest of its contents, so writing a chunk twice has no effect.
    txn.puts.push_back({release::ChunkKey(digest), bytes, 0});
    Result<store::TxnResult> put = store_->Commit(txn);
    for (int n = 1; n < kCommitAttempts && put.ec == ResultCode::kStoreAnswerLost; ++n) {
      put = store_->Commit(txn);
    }
    if (!put.ok()) return ResultCode::kStoreUnavailable;
  }
  return {};
}

std::error_code ReleaseStore::ResolveOutcome(int64_t version, const std::string& write_id) {
  const Result<store::KeyValue> log = store_->Get(release::ReleaseLogKey(version));
  if (!log.ok()) return ResultCode::kStoreAnswerLost;
  if (log.value.mod_revision == 0) return ResultCode::kStoreAnswerLost;
  const Result<Json> entry = ParseJson(log.value.value);
  if (!entry.ok()) return ResultCode::kStoreBadAnswer;
  return entry.value.value("write_id", "") == write_id ? ResultCode::kOk : ResultCode::kStaleBase;
}

std::error_code ReleaseStore::Commit(const store::Txn& txn, int64_t version,
                                     const std::string& write_id) {
  bool sent = false;
  for (int n = 0; n < kCommitAttempts; ++n) {
    if (n > 0) std::this_thread::sleep_for(kCommitRetryDelay);
    // Sending the same transaction again is safe: its compare succeeds at most once.
    const Result<store::TxnResult> result = store_->Commit(txn);
    if (result.ok() && result.value.succeeded) return {};
    if (result.ec == ResultCode::kStoreUnavailable && !sent) return result.ec;
    if (result.ec != ResultCode::kStoreUnavailable) sent = true;
    const std::error_code ec = ResolveOutcome(version, write_id);
    if (!ec || ec == ResultCode::kStaleBase) return ec;
  }
  return ResultCode::kOutcomeUnknown;
}

Result<release::Release> ReleaseStore::ReadInForce(const store::KeyValue& head) {
  if (head.mod_revision == 0) return {{}, release::EmptyRelease()};
  const Result<release::Manifest> manifest = release::DecodeManifest(head.value);
  if (!manifest.ok()) return {manifest.ec, {}};
  return Load(manifest.value);
}

Result<std::vector<Json>> ReleaseStore::History(int64_t from, int64_t limit) {
  std::vector<Json> entries;
  for (int64_t n = from; n < from + limit; ++n) {
    const Result<store::KeyValue> log = store_->Get(release::ReleaseLogKey(n));
    if (!log.ok()) return {log.ec, {}};
    if (log.value.mod_revision == 0) break;
    Result<Json> entry = ParseJson(log.value.value);
    if (!entry.ok()) return {ResultCode::kStoreBadAnswer, {}};
    entries.push_back(std::move(entry.value));
  }
  return {{}, std::move(entries)};
}

std::error_code ReleaseStore::TryRebase(const release::Release& current, bool rebase,
                                        release::Note* note, FieldErrors* errors) {
  const int64_t steps = current.version - note->base;
  // release::ApplyNote() rejects notes with any other base.
  if (steps <= 0 || steps > kMaxRebaseSteps) return {};
  const Result<std::vector<Json>> history = History(note->base + 1, steps);
  if (!history.ok()) return ResultCode::kStoreUnavailable;
  std::vector<release::Note> since;
  for (const Json& it : history.value) {
    FieldErrors ignored;  // the note was validated when it was accepted
    since.push_back(release::ReadNote(it.value("note", Json::object()), &ignored));
  }
  const std::set<std::string> overlap = release::OverlappingObjects(*note, since);
  for (const std::string& it : overlap) {
    errors->push_back({it, ResultCode::kStaleBase,
                       "was changed after release " + std::to_string(note->base) +
                           ", on which the note is based"});
  }
  if (rebase && overlap.empty()) *note = release::Rebase(std::move(*note), current.version);
  return {};
}

Result<release::Release> ReleaseStore::Accept(release::Note note, bool rebase, const Json& audit,
                                              FieldErrors* errors) {
  const Result<store::KeyValue> head = ReadHead();
  if (!head.ok()) return {ResultCode::kStoreUnavailable, {}};
  const Result<release::Release> current = ReadInForce(head.value);
  if (!current.ok()) return {ResultCode::kStoreUnavailable, {}};
  if (const std::error_code ec = TryRebase(current.value, rebase, &note, errors)) return {ec, {}};
  release::Release next = release::ApplyNote(current.value, note, errors);
  if (!errors->empty()) return {errors->front().code, {}};
  const std::string write_id = RandomId();
  const release::ChunkedRelease chunked = release::SplitIntoChunks(next, write_id);
  if (const std::error_code ec = PutChunks(chunked)) return {ec, {}};
  Json entry = audit;
  entry["write_id"] = write_id;
  entry["version"] = next.version;
  store::Txn txn;
  txn.compares.push_back({release::kHeadKey, head.value.mod_revision});
  txn.puts.push_back({release::kHeadKey, release::Encode(chunked.manifest), 0});
  txn.puts.push_back({release::ReleaseLogKey(next.version), entry.dump(), 0});
  if (const std::error_code ec = Commit(txn, next.version, write_id)) return {ec, {}};
  chunks_ = chunked.chunks;
  return {{}, std::move(next)};
}

}  // namespace pomelopond::apps
