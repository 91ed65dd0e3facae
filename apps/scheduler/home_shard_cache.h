// In-process cache of the jobs' home shards, which the store records. The home shard of a job never
// changes, so cached entries are never stale.
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

// Thread-safe. Store calls run on a thread of the cache.
class HomeShardCache {
 public:
  // Called once, on the calling thread or on the thread of the store calls.
  using Callback = std::function<void(Result<std::string> shard)>;

  HomeShardCache(const Endpoint& store, Duration timeout, StoreAvailability* store_availability);

  // Passes the home shard of the job to `callback`. Fails with kNotFound if the job has none, and
  // with kStoreUnavailable if the store does not answer or too many lookups are queued. After
  // kStoreUnavailable, the job was not accepted by this call.
  void Find(const std::string& job, Callback callback);

  // Like Find(), but makes `proposed` the home shard of a job that has none.
  void Claim(const std::string& job, const std::string& proposed, Callback callback);

  // Returns the home shard if it is cached. Otherwise starts a claim in the background and returns
  // nothing.
  std::optional<std::string> FindCachedOrClaim(const std::string& job, const std::string& proposed);

 private:
  using Lookup = std::function<Result<std::string>(store::StoreClient*)>;

  std::optional<std::string> FindCached(const std::string& job);
  void StartLookup(const std::string& job, Lookup lookup, Callback callback);
  Result<std::string> RunLookup(const std::string& job, const Lookup& lookup);

  StoreAvailability* const store_availability_;  // not owned
  store::StoreClient store_;                     // used by the thread of loop_ only
  std::mutex mutex_;  // guards the members below except loop_; a leaf in every lock order
  std::map<std::string, std::string> cache_;  // shard by job
  std::set<std::string> claiming_;            // jobs with a claim in the background
  size_t pending_lookups_ = 0;                // queued and running
  EventLoop loop_;                            // runs the lookups one at a time
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_HOME_SHARD_CACHE_H_
