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
  const store::Item* item = Find(items, key);
  return item != nullptr && item->revision != 0;
}

WriteVerdict CreationVerdict(const std::string& id, const ExistingItems& existing,
                             std::optional<int64_t> large_jobs_revision,
                             const std::function<bool(int64_t)>& lasts) {
  if (Exists(existing, JobKey(id))) return {};
  // Revisions only grow, and all copies name the same one.
  const store::Item* large_jobs = Find(existing, kLargeJobsKey);
  if (large_jobs_revision && large_jobs != nullptr &&
      large_jobs->revision != *large_jobs_revision) {
    return {ResultCode::kStoreCompareFailed, true};
  }
  const store::Item* cancelled = Find(existing, CancelledKey(id));
  if (cancelled != nullptr && cancelled->revision != 0) {
    return {ResultCode::kCancelled, lasts(cancelled->revision)};
  }
  // The pool has room again as soon as a job is over.
  if (Exists(existing, kPoolFullKey)) return {ResultCode::kPoolFull, false};
  return {ResultCode::kStoreCompareFailed, false};
}

WriteVerdict CancellationVerdict(const std::string& id, const ExistingItems& existing) {
  if (Exists(existing, CancelKey(id))) return {};
  // The record that the condition names is gone, and a later one has another revision.
  return {ResultCode::kStoreCompareFailed, true};
}

}  // namespace pomelopond::entry
