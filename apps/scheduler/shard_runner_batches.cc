// The part of ShardRunner that collects the events of a journal record and applies them.
#include <algorithm>
#include <iterator>

#include "apps/scheduler/shard_runner.h"
#include "base/log.h"
#include "base/result_code.h"
#include "planning/release_jobs.h"

namespace pomelopond::apps {
namespace {

// Limit of stops per drained host in one record, so that a drain does not delay other decisions.
constexpr size_t kMaxDrainStops = 50;
constexpr size_t kMaxGrants = 500;  // limit in one record
// These limits bound a record to 512 KiB: with ids of the maximum length, a task event takes at
// most 160 bytes, a grant 290 bytes and an acceptance kMaxSpecBytes.
constexpr size_t kMaxReportedEvents = 1500;
constexpr size_t kMaxRequests = 100;

// Counts grants, stops and completions of tasks in the metrics that the report shows.
void CountEvents(const std::vector<planning::Event>& events, metrics::Registry* metrics) {
  int64_t grants = 0;
  int64_t stops = 0;
  int64_t finished = 0;
  for (const planning::Event& it : events) {
    grants += it.type == planning::EventType::kGrant ? 1 : 0;
    stops += it.type == planning::EventType::kStop ? 1 : 0;
    finished += it.type == planning::EventType::kFinished ? 1 : 0;
  }
  metrics->Count("task_grants_total", grants);
  metrics->Count("task_evictions_total", stops);
  metrics->Count("task_finished_total", finished);
}

}  // namespace

std::vector<planning::PlacementHost> ShardRunner::PlacementHosts() const {
  std::vector<planning::PlacementHost> placement_hosts;
  // A worker that has not answered for half a lease gets no new tasks. A grant to it would expire
  // with the lease, be repeated on the same host and never run.
  const TimePoint now = Now();
  for (const auto& [id, worker] : workers_) {
    const bool answers =
        worker.session.confirmed && now - worker.session.clock_received <= settings_.lease_ttl / 2;
    const bool usable = worker.usable && answers && planning::MayGrant(health_, id);
    const bool probing = planning::HealthOf(health_, id) == planning::WorkerHealth::kProbing;
    placement_hosts.push_back(
        {id, worker.capacity, usable, worker.rack, worker.failure_domain, probing});
  }
  return placement_hosts;
}

void ShardRunner::AddRequests(Batch* batch) {
  std::map<std::string, planning::JobSpec> accepted;  // job specs accepted in this batch, by id
  std::vector<Request> requests;
  const size_t taken = std::min(requests_.size(), kMaxRequests);
  const auto end = requests_.begin() + static_cast<std::ptrdiff_t>(taken);
  std::move(requests_.begin(), end, std::back_inserter(requests));
  requests_.erase(requests_.begin(), end);
  for (Request& it : requests) {
    const bool accept = it.event.type == planning::EventType::kAccept;
    const bool repeated = accept && (!accepted.emplace(it.event.spec.id, it.event.spec).second ||
                                     state_.jobs.count(it.event.spec.id) != 0);
    // A repeated acceptance waits for the next batch, which knows the outcome of the first one.
    if (repeated && state_.jobs.count(it.event.spec.id) == 0) {
      requests_.push_back(std::move(it));
      continue;
    }
    if (!repeated) batch->events.push_back(it.event);
    batch->requests.push_back(std::move(it));
  }
}

ShardRunner::Batch ShardRunner::TakeBatch(TimePoint now) {
  Batch batch;
  const std::lock_guard<std::mutex> lock(mutex_);
  const size_t taken = std::min(reported_events_.size(), kMaxReportedEvents);
  const auto end = reported_events_.begin() + static_cast<std::ptrdiff_t>(taken);
  std::move(reported_events_.begin(), end, std::back_inserter(batch.events));
  reported_events_.erase(reported_events_.begin(), end);
  for (auto& [id, worker] : workers_) {
    // A worker's answer counts as journalled only if all its events are in this batch or an earlier
    // one.
    if (reported_events_.empty() && worker.journal_pending) {
      batch.reported[id] = {worker.reported_sequence, worker.reported_incarnation};
    }
    for (planning::Event& it : planning::OnLeaseEnd(state_, worker.session, now)) {
      // The next batch derives the remaining events from the state again.
      if (batch.events.size() >= kMaxReportedEvents) break;
      batch.events.push_back(std::move(it));
    }
  }
  AddRequests(&batch);
  for (const auto& [id, worker] : workers_) {
    if (!worker.draining) continue;
    for (planning::Event& it : planning::DrainHost(state_, id, kMaxDrainStops)) {
      // An attempt whose end is already in this batch needs no stop.
      if (pending_event_tasks_.count(it.task) == 0) batch.events.push_back(std::move(it));
    }
  }
  planning::Advance(&health_, now);
  ConvertWorkerFaults(&batch);
  if (quotas_changed_) {
    // No grant is being journalled at this point, so the state contains all grants and the planner
    // can be rebuilt from it.
    quotas_changed_ = false;
    planning::PlacementSettings settings;
    settings.quotas = quotas_;
    planner_ = planning::MakePlanner(state_, PlacementHosts(), settings);
  }
  for (const planning::PlacementHost& it : PlacementHosts()) planning::SetHost(&planner_, it);
  for (planning::Event& it : planning::PlaceTasks(state_, &planner_, kMaxGrants, now)) {
    batch.events.push_back(std::move(it));
  }
  for (const planning::Event& it : batch.events) pending_event_tasks_.insert(it.task);
  return batch;
}

// Converts failures that are the worker's fault to stops before they are journalled, so that they
// do not use up the task's attempts.
void ShardRunner::ConvertWorkerFaults(Batch* batch) {
  for (planning::Event& it : batch->events) {
    if (it.type != planning::EventType::kFailed) continue;
    const auto task = state_.tasks.find(it.task);
    if (task == state_.tasks.end()) continue;
    if (planning::CountsAgainstTask(health_, task->second.host)) continue;
    it.type = planning::EventType::kStopped;
    batch->worker_faults.insert(it.task);
  }
}

// Applies a journalled event to the state and the planner, and records in the health table what it
// shows about its worker and task.
void ShardRunner::ApplyEvent(const planning::Event& event, bool worker_fault, TimePoint now) {
  const auto task = state_.tasks.find(event.task);
  const std::string host = task == state_.tasks.end() ? std::string() : task->second.host;
  if (!planning::Apply(&state_, &planner_, event) || task == state_.tasks.end()) return;
  const bool failed = event.type == planning::EventType::kFailed || worker_fault;
  if (event.type == planning::EventType::kGrant) {
    planning::AddGrant(&health_, event.host, event.task);
  } else if (event.type == planning::EventType::kFinished) {
    planning::AddSuccess(&health_, host, event.task);
  } else if (event.type == planning::EventType::kStopped && !failed) {
    planning::AddStop(&health_, host, event.task);
  }
  if (!failed) return;
  const planning::WorkerHealth before = planning::HealthOf(health_, host);
  planning::AddFailure(&health_, host, event.task, now);
  if (planning::HealthOf(health_, host) != before) {
    Log(LogLevel::kWarn, "shard", "worker_health",
        {{"shard", shard_},
         {"host", host},
         {"health", planning::WorkerHealthName(planning::HealthOf(health_, host))}});
  }
  if (task->second.state != planning::TaskState::kPending) return;
  planning::AvoidHost(&planner_, event.task, host);
  const double jitter = std::uniform_real_distribution<double>(0, 1)(random_);
  const Duration wait = planning::BackoffOf(health_, event.task, task->second.failures, jitter);
  if (wait > Duration::zero()) planning::DelayTask(state_, &planner_, event.task, now + wait);
}

void ShardRunner::Complete(const Batch& batch, std::error_code ec) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    store_ok_ = !ec;
    if (!ec) {
      const TimePoint now = Now();
      for (const planning::Event& it : batch.events) {
        ApplyEvent(it, batch.worker_faults.count(it.task) != 0, now);
      }
    }
    for (const auto& [host, reported] : batch.reported) {
      Worker& worker = workers_[host];
      worker.journal_pending = false;
      if (ec || worker.session.incarnation != reported.incarnation) continue;
      if (worker.session.known == reported.sequence) continue;
      worker.session.known = reported.sequence;
      worker.last_sent = TimePoint{};  // sends the new report position to the worker at once
    }
    if (ec) {
      // The workers repeat reports that were not journalled, since `known` was not advanced.
      reported_events_.clear();
      for (auto& [id, worker] : workers_) worker.journal_pending = false;
    }
    for (const planning::Event& it : batch.events) {
      if (it.type == planning::EventType::kGrant) workers_[it.host].last_sent = TimePoint{};
    }
    pending_event_tasks_.clear();
    for (const planning::Event& it : reported_events_) pending_event_tasks_.insert(it.task);
    unresolved_jobs_.clear();
  }
  metrics_->Count("journal_records_total");
  if (!ec) CountEvents(batch.events, metrics_);
  const bool unknown = ec == ResultCode::kStoreAnswerLost;
  for (const Request& it : batch.requests) {
    it.callback(unknown ? std::error_code(ResultCode::kOutcomeUnknown) : ec);
  }
}

}  // namespace pomelopond::apps
