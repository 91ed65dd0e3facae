// The home shards of jobs as this process knows them: a cache in front of the store. A home never
// changes, so a cached one is always right.
#ifndef POMELOPOND_APPS_SCHEDULER_HOME_SHARD_CACHE_H_
#define POMELOPOND_APPS_SCHEDULER_HOME_SHARD_CACHE_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "apps/scheduler/store_availability.h"
#include "base/endpoint.h"
#include "base/event_loop.h"
#include "base/result.h"
#include "base/time.h"
#include "store/store_client.h"

namespace pomelopond::apps {

class HomeShardCache {
 public:
  // Called once, on the calling thread or on that of the store calls.
  using Callback = std::function<void(Result<std::string> shard)>;

  HomeShardCache(const Endpoint& store, Duration timeout, StoreAvailability* store_availability);

  // The home of the job. Errors: kNotFound when it has none; kStoreUnavailable when the store does
  // not answer or too many lookups wait, in which case the job was not accepted by this call.
  void Find(const std::string& job, Callback callback);

  // As Find, but `proposed` becomes the home of a job that has none.
  void Claim(const std::string& job, const std::string& proposed, Callback callback);

  // The home, if it is known already; otherwise claims it in the background.
  std::optional<std::string> FindCachedOrClaim(const std::string& job, const std::string& proposed);

 private:
  using Lookup = std::function<Result<std::string>(store::StoreClient*)>;

  std::optional<std::string> FindCached(const std::string& job);
  void StartLookup(const std::string& job, Lookup lookup, Callback callback);
  Result<std::string> RunLookup(const std::string& job, const Lookup& lookup);

  StoreAvailability* const store_availability_;
  store::StoreClient store_;  // used on the loop's thread only
  std::mutex mutex_;          // guards the members up to the loop; a leaf in every lock order
  std::map<std::string, std::string> cache_;  // shard by job
  std::set<std::string> claiming_;            // in the background
  size_t pending_lookups_ = 0;
  EventLoop loop_;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_HOME_SHARD_CACHE_H_
