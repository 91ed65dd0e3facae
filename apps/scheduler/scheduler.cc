#include "apps/scheduler/scheduler.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "apps/scheduler/paths.h"
#include "apps/scheduler/reconnect_delay.h"
#include "base/log.h"
#include "base/result_code.h"
#include "membership/rendezvous.h"
#include "membership/shard_assignment.h"

namespace pomelopond::apps {
namespace {

// Number of store calls assumed for a handover: members, head, takeover, snapshot and journal, with
// a reserve.
constexpr int64_t kHandoverCalls = 8;
// Time after a slow store call during which no shard is handed over.
constexpr Duration kSlowStoreHold = std::chrono::seconds(10);
constexpr Duration kMemberPollInterval = std::chrono::seconds(1);
// Readiness reports "degraded" if the last successful store read is older than this.
constexpr Duration kDegradedAfter = std::chrono::seconds(10);

}  // namespace

Scheduler::Scheduler(const EntrySettings& settings, uint64_t incarnation)
    : settings_(settings),
      own_(LocalEntryHost(settings)),
      incarnation_(incarnation),
      store_(settings.store, settings.store_timeout),
      home_shards_(settings.store, settings.store_timeout, &store_availability_),
      random_(static_cast<std::minstd_rand::result_type>(incarnation)) {
  for (const EntryHost& it : settings.entry_hosts) {
    peers_[it.id] = std::make_shared<http::HttpClient>(it.scheduler);
  }
}

void Scheduler::UpdateHosts(const membership::HostList& hosts) {
  std::vector<std::shared_ptr<ShardRunner>> runners;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (hosts == hosts_) return;
    hosts_ = hosts;
    for (const auto& [shard, runner] : runners_) runners.push_back(runner);
  }
  for (const auto& it : runners) it->SetHosts(hosts);
}

void Scheduler::UpdateRelease(const release::Release& release) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (release.version <= release_.version) return;
  release_ = release;
  release_jobs_ = release::JobsOf(release);
}

void Scheduler::Start() {
  renewal_thread_ = std::thread([this] { RunRenewals(); });
}

void Scheduler::Tick(TimePoint now) {
  DropShards();
  if (now < next_read_) return;
  const TimePoint began = Now();
  if (!ReadMembers()) {
    store_availability_.MarkUnavailable();
    std::uniform_int_distribution<int64_t> wait(0, kMaxReconnectDelay.count());
    next_read_ = Now() + Duration(wait(random_));
    return;
  }
  store_availability_.MarkAvailable();
  // After an outage the members return one by one. Without this wait, shards would move to the
  // first members to return and back again.
  if (last_read_ != TimePoint{} && now - last_read_ > settings_.member_ttl) {
    stable_from_ = now + std::max(settings_.member_ttl, kMaxReconnectDelay * 2);
  }
  // A handover takes several store calls, during which no process renews the shard's leases. With a
  // slow store the leases would expire, so shards stay with their owners.
  if ((Now() - began) * kHandoverCalls > settings_.lease_ttl) slow_until_ = Now() + kSlowStoreHold;
  last_read_ = now;
  next_read_ = now + kMemberPollInterval;
  ProveOwnersStopped();
  if (now >= stable_from_) TakeOverShards();
  ApplyRelease();
}

void Scheduler::ApplyRelease() {
  std::map<std::string, std::shared_ptr<ShardRunner>> runners;
  std::vector<planning::JobSpec> jobs;
  std::map<std::string, planning::TeamQuota> quotas;
  int64_t version = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runners = runners_;
    version = release_.version;
    jobs = release_jobs_;
    quotas = release::QuotasOf(release_, static_cast<int64_t>(assignment_.size()));
  }
  // Before the first release is received, jobs must not be treated as withdrawn.
  if (version == 0) return;
  std::map<std::string, std::vector<planning::JobSpec>> wanted;
  bool all_known = true;
  for (planning::JobSpec& it : jobs) {
    const std::optional<std::string> home =
        home_shards_.FindCachedOrClaim(it.id, ProposedHome(it.id));
    all_known = all_known && home;
    if (home) wanted[*home].push_back(std::move(it));
  }
  // A job whose home shard is not known yet would look withdrawn to its runner.
  if (!all_known) return;
  for (const auto& [shard, runner] : runners) {
    runner->SetQuotas(quotas);
    runner->ApplyRelease(wanted[shard], version);
  }
}

void Scheduler::Stop() {
  stopping_.store(true);
  std::map<std::string, std::shared_ptr<ShardRunner>> runners;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runners.swap(runners_);
  }
  for (const auto& [shard, runner] : runners) runner->Stop(true);
  if (renewal_thread_.joinable()) renewal_thread_.join();
  if (lease_ != 0) store_.Revoke(lease_);
}

// Returns the home shard for a new job by rendezvous hashing over the shards of the current racks.
// The store records the home shards of jobs that already have one.
std::string Scheduler::ProposedHome(const std::string& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string best;
  uint64_t best_weight = 0;
  for (const std::string& it : membership::ShardsOf(hosts_)) {
    const uint64_t weight = membership::RendezvousWeight(job, it);
    if (!best.empty() && weight <= best_weight) continue;
    best = it;
    best_weight = weight;
  }
  return best;
}

std::shared_ptr<ShardRunner> Scheduler::RunnerOf(const std::string& shard) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = runners_.find(shard);
  return it == runners_.end() ? nullptr : it->second;
}

http::HttpResponse Scheduler::Ready() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool fresh =
      last_store_contact_ != TimePoint{} && Now() - last_store_contact_ < kDegradedAfter;
  const bool ready =
      !stopping_.load() && last_store_contact_ != TimePoint{} && !assignment_.empty();
  return http::JsonResponse(ready ? 200 : 503, {{"ready", ready},
                                                {"state", fresh ? "ok" : "degraded"},
                                                {"shards", runners_.size()},
                                                {"release", release_.version}});
}

http::HttpResponse Scheduler::Shards() {
  std::vector<std::shared_ptr<ShardRunner>> runners;
  Json table = Json::object();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [shard, runner] : runners_) runners.push_back(runner);
    for (const auto& [shard, host] : assignment_) table[shard] = host;
  }
  Json owned = Json::array();
  for (const auto& it : runners) owned.push_back(it->Summary());
  return http::JsonResponse(200, {{"host", own_.id}, {"owned", owned}, {"assignment", table}});
}

void Scheduler::Handle(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/healthz") return reply(http::JsonResponse(200, {{"status", "ok"}}));
  if (path == "/readyz") return reply(Ready());
  if (path == "/v1/shards") return reply(Shards());
  if (path == "/v1/metrics") return reply(http::JsonResponse(200, metrics_.Snapshot()));
  if (path == "/metrics") return reply(http::MetricsResponse(metrics_.ExpositionText()));
  if (path == kFencePath) return HandleFence(request, reply);
  if (path == kJobsPath || path.rfind(std::string(kJobsPath) + "/", 0) == 0) {
    return HandleJobs(request, reply);
  }
  reply(http::ErrorResponse(ResultCode::kNotFound, "no such path: " + path));
}

}  // namespace pomelopond::apps
