#include "entry/write_verdict.h"

#include <algorithm>

#include "base/result_code.h"
#include "entry/keys.h"

namespace pomelopond::entry {
namespace {

const store::Item* Find(const ExistingItems& items, const std::string& key) {
  const auto it = std::find_if(items.begin(), items.end(),
                               [&key](const store::Item& item) { return item.key == key; });
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

bool Exists(const ExistingItems& items, const std::string& key) {
  return RevisionOf(items, key) != 0;
}

int64_t RevisionOf(const ExistingItems& items, const std::string& key) {
  const store::Item* item = Find(items, key);
  return item == nullptr ? 0 : item->revision;
}

WriteVerdict CreationVerdict(const std::string& id, const ExistingItems& existing,
                             const CreationConditions& named,
                             const std::function<bool(int64_t)>& lasts) {
  if (Exists(existing, JobKey(id))) return {};
  // Revisions only grow, and all copies name the same one.
  const store::Item* large_jobs = Find(existing, kLargeJobsKey);
  if (named.large_jobs && large_jobs != nullptr && large_jobs->revision != *named.large_jobs) {
    return {ResultCode::kStoreCompareFailed, true, std::nullopt};
  }
  const store::Item* mark = Find(existing, CancelledKey(id));
  const int64_t marked = RevisionOf(existing, CancelledKey(id));
  if (marked != 0 && mark->value == kCancelledMark) {
    return {ResultCode::kCancelled, lasts(marked), std::nullopt};
  }
  if (marked != named.mark) return {ResultCode::kStoreCompareFailed, false, marked};
  // The pool has room again as soon as a job is over.
  if (Exists(existing, kPoolFullKey)) return {ResultCode::kPoolFull, false, std::nullopt};
  return {ResultCode::kStoreCompareFailed, false, std::nullopt};
}

WriteVerdict CancellationVerdict(const std::string& id, const ExistingItems& existing) {
  if (Exists(existing, CancelKey(id))) return {};
  // The record that the condition names is gone, and a later one has another revision.
  return {ResultCode::kStoreCompareFailed, true, std::nullopt};
}

store::Transaction RevocationOf(const std::string& id, int64_t mark, std::error_code refusal,
                                int64_t lease) {
  const bool cancelled = refusal == ResultCode::kCancelled;
  store::Transaction out;
  out.conditions = {{JobKey(id), 0}, {CancelledKey(id), mark}};
  out.writes = {{CancelledKey(id), cancelled ? kCancelledMark : kRevokedMark, lease}};
  return out;
}

}  // namespace pomelopond::entry
