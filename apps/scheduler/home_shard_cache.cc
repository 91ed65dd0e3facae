#include "apps/scheduler/home_shard_cache.h"

#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "store/job_home.h"

namespace pomelopond::apps {
namespace {

// Period of the loop's timer, which does nothing: the loop only runs posted lookups.
constexpr Duration kIdleInterval = std::chrono::seconds(1);
// Limit of queued lookups. A lookup takes two store calls of a few milliseconds each, so a longer
// queue would delay lookups by seconds.
constexpr size_t kMaxPendingLookups = 500;
// Size of the cache, at about 100 bytes per entry. A full cache is cleared.
constexpr size_t kMaxCachedJobs = 50000;

}  // namespace

HomeShardCache::HomeShardCache(const Endpoint& store, Duration timeout,
                               StoreAvailability* store_availability)
    : store_availability_(store_availability),
      store_(store, timeout),
      loop_({kIdleInterval, {}}, [] {}) {}

std::optional<std::string> HomeShardCache::FindCached(const std::string& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = cache_.find(job);
  if (it == cache_.end()) return std::nullopt;
  return it->second;
}

void HomeShardCache::Find(const std::string& job, Callback callback) {
  StartLookup(
      job, [job](store::StoreClient* client) { return store::FindHomeShard(client, job); },
      std::move(callback));
}

void HomeShardCache::Claim(const std::string& job, const std::string& proposed, Callback callback) {
  StartLookup(
      job,
      [job, proposed](store::StoreClient* client) {
        return store::ClaimHomeShard(client, job, proposed);
      },
      std::move(callback));
}

std::optional<std::string> HomeShardCache::FindCachedOrClaim(const std::string& job,
                                                             const std::string& proposed) {
  std::optional<std::string> known = FindCached(job);
  if (known) return known;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!claiming_.insert(job).second) return std::nullopt;
  }
  Claim(job, proposed, [this, job](const Result<std::string>&) {
    // RunLookup logs a failed claim, and the next call repeats it.
    const std::lock_guard<std::mutex> lock(mutex_);
    claiming_.erase(job);
  });
  return std::nullopt;
}

void HomeShardCache::StartLookup(const std::string& job, Lookup lookup, Callback callback) {
  const std::optional<std::string> known = FindCached(job);
  if (known) return callback({{}, *known});
  bool admitted = store_availability_->IsAvailable();
  if (admitted) {
    const std::lock_guard<std::mutex> lock(mutex_);
    admitted = pending_lookups_ < kMaxPendingLookups;
    if (admitted) pending_lookups_ += 1;
  }
  if (!admitted) return callback({ResultCode::kStoreUnavailable, {}});
  loop_.Post([this, job, lookup = std::move(lookup), callback = std::move(callback)] {
    callback(RunLookup(job, lookup));
  });
}

Result<std::string> HomeShardCache::RunLookup(const std::string& job, const Lookup& lookup) {
  Result<std::string> home{ResultCode::kStoreUnavailable, {}};
  if (store_availability_->IsAvailable()) home = lookup(&store_);
  const bool failed = !home.ok() && home.ec != ResultCode::kNotFound;
  if (failed) {
    Log(LogLevel::kWarn, "scheduler", "job_home_unknown",
        {{"job", job}, {"error", home.ec.message()}});
    store_availability_->MarkUnavailable();
    // A claim whose outcome is unknown may have taken effect, but a claim does not accept the job.
    // So the caller may be told that nothing was accepted.
    home.ec = ResultCode::kStoreUnavailable;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  pending_lookups_ -= 1;
  if (!home.ok()) return home;
  if (cache_.size() >= kMaxCachedJobs) cache_.clear();
  cache_[job] = home.value;
  return home;
}

}  // namespace pomelopond::apps
