// Scheduler process of one entry host: takes over and hands over shards and serves the HTTP
// interface.
#ifndef POMELOPOND_APPS_SCHEDULER_SCHEDULER_H_
#define POMELOPOND_APPS_SCHEDULER_SCHEDULER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>

#include "apps/scheduler/home_shard_cache.h"
#include "apps/scheduler/shard_runner.h"
#include "apps/scheduler/store_availability.h"
#include "base/entry_settings.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "membership/host_list.h"
#include "metrics/registry.h"
#include "release/release.h"
#include "store/store_client.h"

namespace pomelopond::apps {

// Thread-safe, except that Tick() and Stop() must be called by the same thread.
class Scheduler {
 public:
  Scheduler(const EntrySettings& settings, uint64_t incarnation);

  void Handle(const http::HttpRequest& request, const http::Reply& reply);

  void UpdateHosts(const membership::HostList& hosts);
  void UpdateRelease(const release::Release& release);

  // Starts the thread that renews the membership lease.
  void Start();

  // Reads the members and takes over or hands over shards. Blocks on store calls. Must be called by
  // one thread only.
  void Tick(TimePoint now);

  // Hands over all shards and revokes the membership lease.
  void Stop();

 private:
  // A scheduler process with a valid membership lease.
  struct Member {
    std::string host;          // id of its entry host
    uint64_t incarnation = 0;  // identifies the process
  };

  void RunRenewals();
  bool RenewMembership();
  bool ReadMembers();
  void TakeOverShards();
  void ApplyRelease();
  void DropShards();
  void TakeOver(const std::string& shard);
  bool IsProvedStopped(const store::OwnerId& owner) const;
  bool IsOwnerAlive(const store::ShardHead& head) const;
  bool OwnerReportsStopped(const std::string& shard, const store::ShardHead& head);
  std::vector<store::OwnerId> UnprovedOwners(const store::ShardHead& head) const;
  void ProveOwnersStopped();
  void SendFence(const std::shared_ptr<ShardRunner>& runner, const std::string& shard,
                 const store::OwnerId& owner);
  void HandleFence(const http::HttpRequest& request, const http::Reply& reply);
  std::string ProposedHome(const std::string& job);
  std::shared_ptr<ShardRunner> RunnerOf(const std::string& shard);
  void HandleJobs(const http::HttpRequest& request, const http::Reply& reply);
  void SubmitJob(const http::HttpRequest& request, const http::Reply& reply);
  void AcceptAt(const std::string& shard, planning::JobSpec spec, const http::HttpRequest& request,
                const http::Reply& reply);
  void CancelJob(const http::HttpRequest& request, const std::string& job,
                 const http::Reply& reply);
  void CancelAt(const Result<std::string>& home, const http::HttpRequest& request,
                const std::string& job, const http::Reply& reply);
  void DescribeJob(const http::HttpRequest& request, const std::string& job,
                   const http::Reply& reply);
  void DescribeAt(const Result<std::string>& home, const http::HttpRequest& request,
                  const std::string& job, const http::Reply& reply);
  void Forward(const http::HttpRequest& request, const std::string& shard,
               const http::Reply& reply);
  http::HttpResponse Ready();
  http::HttpResponse Shards();

  const EntrySettings settings_;
  const EntryHost own_;
  const uint64_t incarnation_;
  store::StoreClient store_;  // used by Tick(), Stop() and the renewal thread only
  StoreAvailability store_availability_;
  HomeShardCache home_shards_;
  // Renews the membership lease separately from Tick(), since a takeover in Tick() may take longer
  // than the lease lasts.
  std::thread renewal_thread_;
  metrics::Registry metrics_;
  std::atomic<bool> stopping_{false};
  // Membership lease; used by the renewal thread, and by Stop() after the thread has ended.
  int64_t lease_ = 0;
  TimePoint next_renewal_;  // of the membership lease
  TimePoint slow_until_;    // no shard is handed over before this, because the store was slow
  TimePoint next_read_;     // next read of the members
  TimePoint last_read_;     // last successful read of the members
  TimePoint stable_from_;   // shards are taken over or handed over only from this time on
  std::minstd_rand random_;
  // By shard: when this process began to wait for a live owner to hand the shard over, or when it
  // last asked that owner whether it has stopped.
  std::map<std::string, TimePoint> handover_wanted_since_;

  // Guards the members below. Lock order: mutex_ before a runner's mutex. Not held during store
  // calls.
  std::mutex mutex_;
  membership::HostList hosts_;
  release::Release release_;
  std::vector<planning::JobSpec> release_jobs_;    // jobs of release_, decoded once
  std::map<std::string, Member> members_;          // by host
  std::map<std::string, std::string> assignment_;  // host that should own a shard, by shard
  std::map<std::string, std::shared_ptr<ShardRunner>> runners_;     // by owned shard
  std::map<std::string, std::shared_ptr<http::HttpClient>> peers_;  // by host
  // By shard: the epoch up to which this process has answered a fence message with "stopped". It
  // must not own the shard at any epoch up to this one.
  std::map<std::string, int64_t> fenced_epochs_;
  TimePoint last_store_contact_;  // last successful read of the members; unset before the first
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_SCHEDULER_H_
