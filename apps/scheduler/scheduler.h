// The scheduler of one entry host: which shards it owns, and its HTTP interface.
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

class Scheduler {
 public:
  Scheduler(const EntrySettings& settings, uint64_t incarnation);

  void Handle(const http::HttpRequest& request, const http::Reply& reply);

  void UpdateHosts(const membership::HostList& hosts);
  void UpdateRelease(const release::Release& release);

  // Starts renewing the membership.
  void Start();

  // Reads the members and takes over or hands over shards. Blocks on store
  // calls; called by one thread only.
  void Tick(TimePoint now);

  // Hands all shards over and leaves the membership.
  void Stop();

 private:
  struct Member {
    std::string host;
    uint64_t incarnation = 0;
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
  store::StoreClient store_;  // used by Tick and Stop only
  StoreAvailability store_availability_;
  HomeShardCache home_shards_;
  // Renews the membership on its own: a takeover in Tick may take longer than the membership.
  std::thread renewal_thread_;
  metrics::Registry metrics_;
  std::atomic<bool> stopping_{false};
  int64_t lease_ = 0;  // of the membership; the renewal thread only, and Stop after it has ended
  TimePoint next_renewal_;
  TimePoint slow_until_;   // no shard is handed over before this
  TimePoint next_read_;    // of the members
  TimePoint last_read_;    // of the members, successful
  TimePoint stable_from_;  // shards move only after this
  std::minstd_rand random_;
  std::map<std::string, TimePoint> handover_wanted_since_;  // by shard that another process owns

  // Lock order: mutex_ before a runner's mutex; not held during store calls.
  std::mutex mutex_;
  membership::HostList hosts_;
  release::Release release_;
  std::vector<planning::JobSpec> release_jobs_;  // of release_, read once
  std::map<std::string, Member> members_;
  std::map<std::string, std::string> assignment_;  // host by shard
  std::map<std::string, std::shared_ptr<ShardRunner>> runners_;
  std::map<std::string, std::shared_ptr<http::HttpClient>> peers_;  // by host
  // By shard: this process has answered that it has stopped at this and all earlier epochs.
  std::map<std::string, int64_t> fenced_epochs_;
  TimePoint last_store_contact_;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_SCHEDULER_H_
