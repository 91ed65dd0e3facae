// Decisions of the dispatcher: leases, heartbeats, repeated orders and pace.
#include <algorithm>
#include <iterator>

#include "base/log.h"
#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"

namespace pomelopond::dispatch {
namespace {

// Lease on a draining worker. It is short, so that the end of the worker's tasks is known soon
// after the worker is gone.
constexpr Duration kDrainingLease = std::chrono::milliseconds(1500);
// Longest wait for a report from a worker whose pace may have to change soon. A reported tail
// covers half a second, so the effect of a decision is visible after this time.
constexpr Duration kPacedReportWait = std::chrono::milliseconds(500);
// While a tail stays too long, a run that interferes with it is stopped each time that this has
// passed.
constexpr Duration kTailStopInterval = std::chrono::milliseconds(1500);

// Least wait for the report that tells that a start has expired, so that heartbeats don't follow
// each other at once where it doesn't come, as while reports are cut.
constexpr Duration kMinExpiryWait = std::chrono::milliseconds(100);

// Start orders are overdue after this multiple of the lower quartile of their answer times, at
// least the given time. The quartile grows with the load of this host, so orders that wait for it
// are not overdue.
constexpr int kOverdueAnswerTimes = 4;
constexpr Duration kMinOverdueTime = std::chrono::milliseconds(100);

// Maximum time between two checks of all workers. In between, a decision checks only workers that
// have sent a message or changed since. Timed events of the others are handled with this delay at
// most.
constexpr Duration kFullCheckInterval = std::chrono::milliseconds(10);

// A run is settled once the worker has confirmed that it runs or that it stops.
bool HasUnsettledRun(const WorkerState& worker) {
  return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& it) {
    return it.second.phase != RunPhase::kRunning && !it.second.stop_confirmed;
  });
}

// Time until a report can tell that a start order without an answer had no effect, of the order for
// which that is first. Nothing if there is no such order.
std::optional<Duration> TimeToExpiredStart(const WorkerState& worker, TimePoint now) {
  std::optional<Duration> first;
  const int64_t clock_ms = EstimatedClockMs(worker, now);
  for (const auto& [id, it] : worker.runs) {
    if (!it.outcome_unknown || it.started_at != TimePoint{}) continue;
    if (it.start_lease_end_ms == kUnknownStartLease) continue;
    const Duration left = std::chrono::milliseconds(it.start_lease_end_ms - clock_ms) + kTimerSlack;
    first = std::max(kMinExpiryWait, first ? std::min(*first, left) : left);
  }
  return first;
}

void LogExpiredLease(const WorkerState& worker, TimePoint now) {
  Log(LogLevel::kInfo, "dispatch", "lease_expired",
      {{"worker", worker.info.id},
       {"runs", worker.runs.size()},
       {"since_start_ms", Milliseconds(now - worker.last_start)},
       {"since_report_ms", Milliseconds(now - worker.reported_at)}});
}

WorkerAddress AddressOf(const WorkerState& worker) {
  return {worker.info.id, worker.info.endpoint};
}

}  // namespace

Orders Dispatcher::Decide(TimePoint now, int64_t wall_ms) {
  Orders orders;
  if (superseded_) return orders;
  std::vector<WorkerState*> checked = TakeWorkersToCheck(now);
  ExpireWorkers(&checked, now);
  LogReconciliation(now);
  UpdateTasksAway(now);
  EvictFromDrainingWorkers(checked);
  MoveFromEvacuatedDomains(now, wall_ms);
  ReleaseOverdueStarts(now);
  PlaceTasks(now, wall_ms, &orders);
  RescueSlowRuns(now, wall_ms, &orders);
  DecidePace(checked, now, &orders);
  RetryRuns(now, &orders);
  DecideHeartbeats(checked, now, &orders);
  return orders;
}

// Each message of a worker leads to a decision, so a large pool has many of them a second.
std::vector<WorkerState*> Dispatcher::TakeWorkersToCheck(TimePoint now) {
  std::vector<WorkerState*> out;
  if (now >= next_full_check_) {
    next_full_check_ = now + kFullCheckInterval;
    for (auto& [id, it] : workers_) out.push_back(&it);
  } else {
    for (const std::string& it : to_check_) {
      if (WorkerState* worker = FindWorker(it)) out.push_back(worker);
    }
  }
  to_check_.clear();
  return out;
}

// Takes the workers that are gone off the list.
void Dispatcher::ExpireWorkers(std::vector<WorkerState*>* checked, TimePoint now) {
  const auto gone = std::remove_if(checked->begin(), checked->end(),
                                   [&](WorkerState* it) { return ExpireWorker(it, now); });
  checked->erase(gone, checked->end());
}

bool Dispatcher::ExpireWorker(WorkerState* worker, TimePoint now) {
  const bool expired = now >= worker->lease_ends && last_proof_ >= worker->lease_ends;
  // The proof that is missing may come with the next message of the store.
  if (!expired && now >= worker->lease_ends) CheckSoon(*worker);
  if (expired && !worker->runs.empty()) {
    LogExpiredLease(*worker, now);
    MarkRunsLost(worker, now);
  }
  if (expired) unreconciled_.erase(worker->info.id);
  if (worker->recorded && IsUnused(*worker, generation_, now)) workers_changed_ = true;
  if (!expired || worker->registered || worker->heartbeat_in_flight) return false;
  const std::string id = worker->info.id;
  Log(LogLevel::kInfo, "dispatch", "worker_gone", {{"worker", id}});
  RemoveFromIndex(&index_, worker);
  workers_.erase(id);
  workers_changed_ = true;
  return true;
}

bool Dispatcher::IsEmpty(const WorkerState& worker, uint64_t generation) const {
  const bool durable = worker.processed == worker.acknowledged || worker.generation <= generation;
  return worker.runs.empty() && durable && unreconciled_.count(worker.info.id) == 0;
}

bool Dispatcher::IsUnused(const WorkerState& worker, uint64_t generation, TimePoint now) const {
  return IsEmpty(worker, generation) && !IsMember(worker, now);
}

void Dispatcher::LogReconciliation(TimePoint now) {
  if (reconciliation_logged_ || !unreconciled_.empty()) return;
  reconciliation_logged_ = true;
  Log(LogLevel::kInfo, "dispatch", "reconciled",
      {{"epoch", epoch_},
       {"after_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(now - took_over_).count()}});
}

int64_t Dispatcher::LeaseEndMs(WorkerState* worker, TimePoint now) {
  const Duration lease = worker->info.draining ? kDrainingLease : limits_.run_lease;
  const Duration left = std::min<Duration>(lease, last_proof_ + limits_.lease_horizon - now);
  if (left <= Duration::zero() || worker->clock_ms == 0 || worker->lease_bounded) return 0;
  const int64_t until = EstimatedClockMs(*worker, now) +
                        std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  worker->lease_ends = std::max(worker->lease_ends, LatestLocalTime(*worker, until));
  return until;
}

// Start orders extend the worker's lease like heartbeats, also repeated ones. Those for a perpetual
// task have the lease of the first one, so that it can start elsewhere soon if this worker answers
// none of them.
int64_t Dispatcher::StartLeaseEndMs(WorkerState* worker, RunState* run, TimePoint now) {
  if (run->perpetual && run->start_lease_end_ms != 0) {
    const bool valid = !worker->lease_bounded && now < last_proof_ + limits_.lease_horizon &&
                       EstimatedClockMs(*worker, now) < run->start_lease_end_ms;
    // The clock may be that of a new incarnation, which the first lease says nothing of.
    return valid ? std::min(run->start_lease_end_ms, LeaseEndMs(worker, now)) : 0;
  }
  const int64_t until = LeaseEndMs(worker, now);
  run->start_lease_end_ms = std::max(run->start_lease_end_ms, until);
  return until;
}

void Dispatcher::DecideHeartbeats(const std::vector<WorkerState*>& checked, TimePoint now,
                                  Orders* orders) {
  for (WorkerState* it : checked) {
    WorkerState& worker = *it;
    if (worker.heartbeat_in_flight || now < worker.next_heartbeat) continue;
    HeartbeatOrder order;
    order.to = AddressOf(worker);
    order.epoch = epoch_;
    // Another incarnation would delete ended runs that it has not reported yet.
    order.acknowledged = worker.may_have_restarted ? 0 : worker.acknowledged;
    order.connection = worker.report_connection;
    const bool steady = worker.contacted && worker.unanswered_calls == 0;
    // Heartbeats to a worker that does not answer extend no lease, so its lease expires.
    if (steady && !worker.runs.empty()) order.lease_end_ms = LeaseEndMs(&worker, now);
    const bool extendable = !worker.lease_bounded;
    if (steady && extendable && worker.processed == worker.acknowledged) {
      order.wait = limits_.report_wait;
    }
    if (unsettled_workers_.count(worker.info.id) > 0) {
      order.wait = std::min(order.wait, TimeToExpiredStart(worker, now).value_or(order.wait));
    }
    if (MayNeedPace(worker)) order.wait = std::min(order.wait, kPacedReportWait);
    worker.heartbeat_in_flight = true;
    worker.heartbeat_sent_at = now;
    orders->heartbeats.push_back(std::move(order));
  }
}

std::optional<StartOrder> Dispatcher::MakeStartOrder(WorkerState* worker, const RunId& id,
                                                     TimePoint now) {
  JobEntry* entry = FindEntry(id.task.job);
  const TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id.task);
  if (task == nullptr) return std::nullopt;
  RunState* run = &worker->runs.at(id);
  const int64_t until = StartLeaseEndMs(worker, run, now);
  if (until == 0) return std::nullopt;
  StartOrder order;
  order.to = AddressOf(*worker);
  order.epoch = epoch_;
  order.lease_end_ms = until;
  order.run = id;
  order.spec = entry->job.spec;
  order.checkpoint = task->progress.checkpoint;
  if (entry->job.rules.needs_permits) {
    const Permit* permit = FindPermit(StepStateOf(entry, id.task)->permits, worker->info.id,
                                      worker->info.incarnation, now);
    if (permit == nullptr) return std::nullopt;
    order.permit = permit->text;
  }
  order.number = ++last_start_order_;
  order.sent_at = now;
  order.incarnation = worker->info.incarnation;
  worker->last_start = now;
  SetRefusals(worker, AfterStartOrder(worker->refusals, now));
  if (!run->outcome_unknown) timely_starts_.emplace(order.number, now);
  return order;
}

// Orders without an answer cost this host next to nothing, so others may be sent in their place.
void Dispatcher::ReleaseOverdueStarts(TimePoint now) {
  const Duration overdue = std::max(kMinOverdueTime, start_answer_time_ * kOverdueAnswerTimes);
  auto it = timely_starts_.begin();
  while (it != timely_starts_.end() && it->second + overdue <= now) it = timely_starts_.erase(it);
}

void Dispatcher::RetryRuns(TimePoint now, Orders* orders) {
  for (auto it = unsettled_workers_.begin(); it != unsettled_workers_.end();) {
    WorkerState* worker = FindWorker(*it);
    const bool unsettled = worker != nullptr && HasUnsettledRun(*worker);
    if (unsettled && worker->contacted) RetryRunsOn(worker, now, orders);
    it = unsettled ? std::next(it) : unsettled_workers_.erase(it);
  }
}

void Dispatcher::RetryRunsOn(WorkerState* worker, TimePoint now, Orders* orders) {
  for (auto& [id, run] : worker->runs) {
    if (run.call_in_flight || now < run.next_call) continue;
    if (run.phase == RunPhase::kStopping && !run.stop_confirmed) {
      run.call_in_flight = true;
      orders->stops.push_back({AddressOf(*worker), epoch_, id, worker->info.incarnation, now});
    }
    if (run.phase != RunPhase::kStarting) continue;
    // The domain may have been evacuated without this owner's knowledge, and the start, which got
    // no answer, could still take effect there.
    if (starts_held_) {
      RequestStop(worker, id, StopReason::kUncertain);
      continue;
    }
    const std::optional<StartOrder> order = MakeStartOrder(worker, id, now);
    if (!order) {
      // An earlier start order may still take effect, but it cannot be sent again.
      if (now < last_proof_ + limits_.lease_horizon) {
        RequestStop(worker, id, StopReason::kUncertain);
      }
      continue;
    }
    run.call_in_flight = true;
    starts_in_flight_ += 1;
    orders->starts.push_back(*order);
  }
}

void Dispatcher::EvictFromDrainingWorkers(const std::vector<WorkerState*>& checked) {
  for (WorkerState* it : checked) {
    WorkerState& worker = *it;
    if (!worker.info.draining || !worker.registered) continue;
    for (const auto& [id, run] : worker.runs) {
      JobEntry* entry = FindEntry(id.task.job);
      if (entry == nullptr || FindTask(entry, id.task) == nullptr) continue;
      const jobs::Step& step = StepOf(*entry, id.task);
      if (step.perpetual || step.checkpoint) RequestStop(&worker, id, StopReason::kDraining);
    }
  }
}

void Dispatcher::OrderPace(WorkerState* worker, const PaceChange& change, TimePoint now,
                           Orders* orders) {
  RunState& run = worker->runs.at(change.id);
  RecordPace(&run, change.pace, now);
  run.call_in_flight = true;
  worker->paced_at = now;
  orders->paces.push_back({AddressOf(*worker), epoch_, change.id, change.pace, now});
}

// The run that interferes most goes on elsewhere.
void Dispatcher::StopInterference(WorkerState* worker, TimePoint now) {
  if (!HasPersistentTail(*worker, now)) return;
  if (now < worker->tail_stop_at + kTailStopInterval) return;
  worker->tail_stop_at = now;
  const std::optional<RunId> run = MostInterferingRun(colocation_, *worker);
  if (run) RequestStop(worker, *run, StopReason::kTail);
}

void Dispatcher::SlowDownStarts(TimePoint now, Orders* orders) {
  std::vector<std::pair<std::string, RunId>> pending;
  for (auto& [worker_id, id] : slow_starts_) {
    WorkerState* worker = FindWorker(worker_id);
    if (worker == nullptr) continue;
    const auto run = worker->runs.find(id);
    const bool exists = run != worker->runs.end();
    if (exists && (run->second.phase == RunPhase::kStarting || run->second.call_in_flight)) {
      pending.emplace_back(worker_id, id);
      continue;
    }
    worker->slow_starts -= 1;
    if (!exists || run->second.phase != RunPhase::kRunning) continue;
    OrderPace(worker, {id, kLowPace}, now, orders);
  }
  slow_starts_ = std::move(pending);
}

// A worker that has sent a report since the last decision is among the checked ones.
void Dispatcher::DecidePace(const std::vector<WorkerState*>& checked, TimePoint now,
                            Orders* orders) {
  SlowDownStarts(now, orders);
  for (WorkerState* it : checked) {
    WorkerState& worker = *it;
    if (worker.best_effort_cpu == 0 || !worker.contacted || worker.unanswered_calls > 0) continue;
    if (!worker.has_new_report) continue;
    worker.has_new_report = false;
    UpdateLongTail(&worker, now);
    StopInterference(&worker, now);
    for (const PaceChange& change : PaceChanges(colocation_, worker, now)) {
      OrderPace(&worker, change, now, orders);
    }
  }
}

}  // namespace pomelopond::dispatch
