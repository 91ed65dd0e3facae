#include "apps/scheduler/shard_runner.h"

#include <algorithm>

#include "base/log.h"
#include "base/random_id.h"
#include "base/result_code.h"
#include "membership/shard_assignment.h"

namespace pomelopond::apps {

ShardRunner::ShardRunner(const EntrySettings& settings, std::string shard, store::ShardLog log,
                         planning::ShardState state, std::vector<store::OwnerId> unproved,
                         TimePoint takeover_sent, StoreAvailability* store_availability,
                         metrics::Registry* metrics)
    : settings_(settings),
      shard_(std::move(shard)),
      log_(std::move(log)),
      store_availability_(store_availability),
      metrics_(metrics),
      hold_limit_end_(planning::LeaseEnd(Now(), settings.hold_limit)),
      state_(std::move(state)),
      unproved_(std::move(unproved)),
      previous_leases_end_(unproved_.empty() ? planning::LeaseEnd(Now(), settings.lease_ttl)
                                             : planning::kUnknownLease),
      ownership_confirmed_(takeover_sent),
      epoch_(log_.epoch()) {}

ShardRunner::~ShardRunner() { Stop(false); }

void ShardRunner::Start() {
  planner_ = planning::MakePlanner(state_, PlacementHosts(), {});
  journal_thread_ = std::thread([this] { RunJournal(); });
  exchange_thread_ = std::thread([this] { RunExchanges(); });
}

void ShardRunner::Stop(bool release) {
  stopping_.store(true);
  changed_.notify_all();
  const bool running = journal_thread_.joinable();
  if (running) journal_thread_.join();
  if (exchange_thread_.joinable()) exchange_thread_.join();
  std::vector<Request> left;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    left.swap(requests_);
  }
  for (const Request& it : left) it.callback(ResultCode::kStopping);
  if (!running || !release || replaced() || log_.pending()) return;
  log_.SetUnproved(unproved());
  const std::error_code ec = log_.Release(RandomId());
  Log(LogLevel::kInfo, "shard", "released", {{"shard", shard_}, {"result", ec.message()}});
}

void ShardRunner::SetHosts(const membership::HostList& hosts) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [id, worker] : workers_) {
    worker.usable = false;
    worker.draining = false;
  }
  for (const auto& [id, host] : hosts.hosts) {
    if (membership::ShardOf(host) != shard_) continue;
    const bool known = workers_.count(id) != 0;
    Worker& worker = workers_[id];
    if (!known) {
      worker.session.host = id;
      worker.session.lease_end = previous_leases_end_;
      worker.client = std::make_shared<http::HttpClient>(host.worker);
    }
    worker.capacity = host.capacity;
    worker.rack = host.rack;
    worker.failure_domain = host.failure_domain;
    worker.usable = host.state == membership::HostState::kLive;
    worker.draining = host.state == membership::HostState::kLeaving;
  }
}

void ShardRunner::Halt() {
  const std::lock_guard<std::mutex> lock(mutex_);
  halted_.store(true);
}

void ShardRunner::MarkReplaced() {
  Halt();
  if (replaced_.exchange(true)) return;
  Log(LogLevel::kWarn, "shard", "replaced", {{"shard", shard_}, {"epoch", epoch_}});
}

std::vector<store::OwnerId> ShardRunner::unproved() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return unproved_;
}

void ShardRunner::OnOwnerStopped(const store::OwnerId& owner, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = std::find(unproved_.begin(), unproved_.end(), owner);
  if (it == unproved_.end()) return;
  unproved_.erase(it);
  Log(LogLevel::kInfo, "shard", "owner_stopped",
      {{"shard", shard_}, {"epoch", epoch_}, {"owner", owner.host}});
  if (unproved_.empty()) ClearUnprovedOwners(now);
}

void ShardRunner::ClearUnprovedOwners(TimePoint now) {
  unproved_.clear();
  previous_leases_end_ = planning::LeaseEnd(now, settings_.lease_ttl);
  for (auto& [id, worker] : workers_) {
    if (worker.session.lease_end == planning::kUnknownLease) {
      worker.session.lease_end = previous_leases_end_;
    }
  }
}

void ShardRunner::SetQuotas(std::map<std::string, planning::TeamQuota> quotas) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (quotas == quotas_) return;
  quotas_ = std::move(quotas);
  quotas_changed_ = true;
}

}  // namespace pomelopond::apps
