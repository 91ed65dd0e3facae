// The scheduler of one entry host: which shards it owns, and its HTTP interface.
#ifndef POMELOPOND_APPS_SCHEDULER_SCHEDULER_H_
#define POMELOPOND_APPS_SCHEDULER_SCHEDULER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "apps/scheduler/shard_runner.h"
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

  // Renews the membership, reads the members and takes over or hands over shards. Blocks on store
  // calls; called by one thread only.
  void Tick(TimePoint now);

  // Hands all shards over and leaves the membership.
  void Stop();

 private:
  struct Member {
    std::string host;
    uint64_t incarnation = 0;
  };

  bool RenewMembership();
  bool ReadMembers();
  void TakeShards();
  void DropShards();
  void TakeOver(const std::string& shard);
  bool OwnerStopped(const store::ShardHead& head) const;
  bool OwnerAlive(const store::ShardHead& head) const;
  std::string HomeShard(const std::string& job);
  std::shared_ptr<ShardRunner> RunnerOf(const std::string& shard);
  void HandleJobs(const http::HttpRequest& request, const http::Reply& reply);
  void SubmitJob(const http::HttpRequest& request, const http::Reply& reply);
  void CancelJob(const http::HttpRequest& request, const std::string& job,
                 const http::Reply& reply);
  void DescribeJob(const http::HttpRequest& request, const std::string& job,
                   const http::Reply& reply);
  void Forward(const http::HttpRequest& request, const std::string& shard,
               const http::Reply& reply);
  http::HttpResponse Ready();
  http::HttpResponse Shards();

  const EntrySettings settings_;
  const EntryHost own_;
  const uint64_t incarnation_;
  store::StoreClient store_;  // used by Tick and Stop only
  metrics::Registry metrics_;
  std::atomic<bool> stopping_{false};
  int64_t lease_ = 0;  // of the membership; Tick and Stop only
  TimePoint next_renewal_;
  TimePoint next_read_;  // of the members

  // Lock order: mutex_ before a runner's mutex; not held during store calls.
  std::mutex mutex_;
  membership::HostList hosts_;
  int64_t release_version_ = 0;
  std::map<std::string, Member> members_;
  std::map<std::string, std::string> table_;  // host by shard
  std::map<std::string, std::shared_ptr<ShardRunner>> runners_;
  std::map<std::string, std::shared_ptr<http::HttpClient>> peers_;  // by host
  TimePoint store_seen_;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_SCHEDULER_H_
