// Processing of workers' answers to orders.
#include <algorithm>

#include "base/log.h"
#include "dispatch/answer_time.h"
#include "dispatch/dispatcher.h"
#include "dispatch/worker_lease.h"

namespace pomelopond::dispatch {
namespace {

// Start and stop orders are repeated after this time.
constexpr Duration kCallRetry = std::chrono::milliseconds(200);

}  // namespace

void Dispatcher::RecordNoAnswer(WorkerState* worker, TimePoint now) {
  worker->unanswered_calls += 1;
  worker->may_have_restarted = true;
  if (worker->unanswered_calls > 1) return;
  Log(LogLevel::kInfo, "dispatch", "worker_silent",
      {{"worker", worker->info.id},
       {"lease_left_ms", Milliseconds(std::max(worker->lease_ends - now, Duration{}))}});
}

// Returns false when the answer comes from another incarnation of the worker or refuses the epoch.
bool Dispatcher::HandleAnswer(WorkerState* worker, const Answer& answer, TimePoint now) {
  CheckSoon(*worker);
  if (answer.status == OrderStatus::kUnreachable || answer.status == OrderStatus::kNoAnswer) {
    RecordNoAnswer(worker, now);
    return true;
  }
  const int64_t known = worker->info.incarnation;
  const bool other = answer.status == OrderStatus::kWrongIncarnation;
  // Another worker at the address answers with an incarnation of its own.
  const bool newer = !other && answer.incarnation != 0 && known != 0 && answer.incarnation > known;
  if (newer || other) {
    Log(LogLevel::kInfo, "dispatch", "worker_restarted", {{"worker", worker->info.id}});
    if (newer) {
      worker->info.incarnation = answer.incarnation;
      worker->info_outdated = true;
      HandleRestart(worker, now);
    } else {
      // Another worker has taken the address, so no owner can start a run of this one there.
      unreconciled_.erase(worker->info.id);
      MarkRunsLost(worker, now);
      worker->next_heartbeat = now + kHeartbeatRetry;
    }
    worker->unanswered_calls += 1;
    return false;
  }
  if (answer.incarnation != 0 && answer.incarnation < known) return false;
  if (answer.incarnation != 0) worker->info.incarnation = answer.incarnation;
  if (answer.status == OrderStatus::kStaleEpoch) {
    superseded_ = true;
    return false;
  }
  worker->unanswered_calls = 0;
  worker->unanswered_heartbeats = 0;
  if (worker->lease_bounded) lease_bounds_due_ = now;
  return true;
}

void Dispatcher::RecordStartAnswer(const StartOrder& order, const Answer& answer, TimePoint now) {
  starts_in_flight_ -= 1;
  timely_starts_.erase(order.number);
  const bool answered =
      answer.status != OrderStatus::kNoAnswer && answer.status != OrderStatus::kUnreachable;
  if (!answered || order.sent_at == TimePoint{}) return;
  start_answer_time_ = UpdateLowerQuartile(start_answer_time_, now - order.sent_at);
}

void Dispatcher::OnStarted(const StartOrder& order, const Answer& received, TimePoint now) {
  RecordStartAnswer(order, received, now);
  WorkerState* worker = FindWorker(order.to.worker);
  if (worker == nullptr) return;
  Answer answer = received;
  if (worker->info.endpoint == order.to.endpoint && IsClockBehind(*worker, answer, order.sent_at)) {
    AwaitReport(worker, answer, now);
    // The connection has outlived the incarnation that it was made to, so only the worker bounds
    // its lease, and the answer is of another one.
    worker->lease_ends = std::max(worker->lease_ends, now + LongestLease(limits_));
    if (answer.incarnation == order.incarnation) answer.incarnation = 0;
  }
  if (worker->runs.count(order.run) == 0) return;
  if (worker->info.endpoint != order.to.endpoint) {
    RunState& run = worker->runs.at(order.run);
    run.call_in_flight = false;
    run.outcome_unknown = true;
    run.next_call = now + kCallRetry;
    return;
  }
  // The start may have been carried out by a new incarnation, so it is in flight until then.
  const bool usable = HandleAnswer(worker, answer, now);
  const auto found = worker->runs.find(order.run);
  if (found == worker->runs.end()) return;
  RunState& run = found->second;
  run.call_in_flight = false;
  if (!usable) return;
  if (run.phase == RunPhase::kStarting && answer.status != OrderStatus::kNoAnswer) {
    answered_starts_ += 1;
    start_time_ += now - run.ordered_at;
  }
  SetRefusals(worker, AfterStartAnswer(worker->refusals, answer.status, order.sent_at, now,
                                       RefusalDraw(order.number)));
  if (answer.status == OrderStatus::kAccepted) {
    run.confirmed_at = now;
    run.incarnation_known = run.incarnation_known || answer.incarnation != 0;
    MarkStarted(&run, now);
    if (run.phase == RunPhase::kStarting) run.phase = RunPhase::kRunning;
    RecordConfirmedRun(FindEntry(order.run.task.job));
    return;
  }
  if (answer.status == OrderStatus::kNoAnswer) {
    run.outcome_unknown = true;
    run.next_call = now + kCallRetry;
    return;
  }
  if (answer.status == OrderStatus::kNoPermit) DropPermit(order);
  Log(LogLevel::kInfo, "dispatch", "start_refused",
      {{"job", order.run.task.job},
       {"run", order.run.run},
       {"worker", worker->info.id},
       {"status", static_cast<int>(answer.status)},
       {"in_a_row", worker->refusals.refusals}});
  if (run.phase == RunPhase::kRunning) return;
  // An earlier order without an answer may still take effect unless the run is stopped on the
  // worker.
  if (run.outcome_unknown) return RequestStop(worker, order.run, StopReason::kUncertain);
  EndRun(worker, order.run);
}

// The worker's verdict on the validity of a permit takes precedence over the stored expiry.
void Dispatcher::DropPermit(const StartOrder& order) {
  JobEntry* entry = FindEntry(order.run.task.job);
  StepState* step = entry == nullptr ? nullptr : StepStateOf(entry, order.run.task);
  if (step != nullptr) step->permits.granted.erase(order.to.worker);
}

void Dispatcher::OnStopped(const StopOrder& order, const Answer& answer, TimePoint now) {
  WorkerState* worker = FindWorker(order.to.worker);
  if (worker == nullptr) return;
  const auto found = worker->runs.find(order.run);
  if (found == worker->runs.end()) return;
  found->second.call_in_flight = false;
  found->second.next_call = now + kCallRetry;
  if (worker->info.endpoint != order.to.endpoint) return;
  if (IsClockBehind(*worker, answer, order.sent_at)) AwaitReport(worker, answer, now);
  if (!HandleAnswer(worker, answer, now)) return;
  if (answer.status != OrderStatus::kAccepted) return;
  // An earlier incarnation took the stop with it.
  if (order.incarnation != worker->info.incarnation) return;
  found->second.stop_confirmed = true;
  found->second.confirmed_at = now;
}

void Dispatcher::OnPaced(const PaceOrder& order, const Answer& answer, TimePoint now) {
  WorkerState* worker = FindWorker(order.to.worker);
  if (worker == nullptr) return;
  const auto found = worker->runs.find(order.run);
  if (found != worker->runs.end()) found->second.call_in_flight = false;
  if (worker->info.endpoint != order.to.endpoint) return;
  if (IsClockBehind(*worker, answer, order.sent_at)) AwaitReport(worker, answer, now);
  const bool usable = HandleAnswer(worker, answer, now);
  if (!usable || answer.status == OrderStatus::kAccepted) return;
  // HandleAnswer() may have removed the run.
  const auto it = worker->runs.find(order.run);
  if (it != worker->runs.end()) it->second.pace = -1;  // ordered again by the next decision
}

}  // namespace pomelopond::dispatch
