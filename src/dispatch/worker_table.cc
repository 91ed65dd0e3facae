#include "dispatch/worker_table.h"

#include <algorithm>

namespace pomelopond::dispatch {
namespace {

// Time within which a worker confirms the start of a run, unless its answers get lost.
constexpr Duration kConfirmationTime = std::chrono::seconds(1);

// A run that is expected to end within this time ends soon. It covers the start of another run and
// the error of the expected end.
constexpr Duration kHandoverTime = std::chrono::milliseconds(300);

// Weight of a reported tail in the moving average. Single tails scatter widely.
constexpr double kTailWeight = 0.5;

// The sum over runs to which the run's reservation belongs, or null.
Resources* ReleasableSum(WorkerState* worker, const RunState& run) {
  if (run.phase == RunPhase::kStopping) return &worker->stopping;
  return run.perpetual ? nullptr : &worker->preemptible[run.priority];
}

void AddToSum(WorkerState* worker, const RunState& run) {
  Resources* sum = ReleasableSum(worker, run);
  if (sum != nullptr) *sum = *sum + RunReservation(run);
}

void TakeFromSum(WorkerState* worker, const RunState& run) {
  Resources* sum = ReleasableSum(worker, run);
  if (sum != nullptr) *sum = *sum - RunReservation(run);
}

}  // namespace

const char* StopReasonName(StopReason reason) {
  switch (reason) {
    case StopReason::kNone:
      return "none";
    case StopReason::kJobOver:
      return "job_over";
    case StopReason::kPreempted:
      return "preempted";
    case StopReason::kTail:
      return "tail";
    case StopReason::kStalled:
      return "stalled";
    case StopReason::kDraining:
      return "draining";
    case StopReason::kEvacuated:
      return "evacuated";
    case StopReason::kSlowWorker:
      return "slow_worker";
    case StopReason::kRedundantCopy:
      return "redundant_copy";
    case StopReason::kUnwanted:
      return "unwanted";
    case StopReason::kUncertain:
      return "uncertain";
  }
  return "unknown";
}

int64_t EstimatedClockMs(const WorkerState& worker, TimePoint now) {
  return worker.clock_ms +
         std::chrono::duration_cast<std::chrono::milliseconds>(now - worker.clock_at).count();
}

TimePoint LatestLocalTime(const WorkerState& worker, int64_t end_ms) {
  const double left_us = static_cast<double>(end_ms - worker.clock_ms) * 1000 / kMinClockRate;
  return worker.clock_at + Duration(static_cast<int64_t>(left_us)) + kTimerSlack;
}

Resources FreeCapacity(const WorkerState& worker) { return worker.info.capacity - worker.used; }

Resources RunReservation(const RunState& run) {
  Resources amount = run.request;
  if (run.best_effort) amount.cpu_milli = 0;
  return amount;
}

void MarkStopping(WorkerState* worker, RunState* run) {
  TakeFromSum(worker, *run);
  worker->tails.valid = false;
  run->phase = RunPhase::kStopping;
  AddToSum(worker, *run);
}

void SetRefusals(WorkerState* worker, const RefusalBackoff& refusals) {
  worker->refusals = refusals;
  worker->backoff_until = refusals.until;
}

void MarkStarted(RunState* run, TimePoint now) {
  if (run->started_at != TimePoint{}) return;
  run->started_at = now;
  BeginProgress(&run->progress, now);
}

int64_t BestEffortUse(const RunState& run) {
  if (!run.best_effort) return 0;
  // The first report of a run covers little of it.
  return run.load > 0 ? std::min(run.load, run.request.cpu_milli) : run.request.cpu_milli;
}

void RecordLoad(WorkerState* worker, RunState* run, int64_t load) {
  worker->best_effort_use -= BestEffortUse(*run);
  run->load = load;
  worker->best_effort_use += BestEffortUse(*run);
  if (run->target_tail_ms <= 0) return;
  const auto tail = static_cast<double>(load);
  run->tail_ms = run->tail_ms > 0 ? run->tail_ms + kTailWeight * (tail - run->tail_ms) : tail;
}

void RecordPace(RunState* run, int pace, TimePoint now) {
  if (run->pace == 0) run->paused_for += now - run->paused_at;
  if (pace == 0) run->paused_at = now;
  // The limit of a pause counts from its begin.
  if (pace == 0) run->without_progress = Duration{};
  run->pace = pace;
}

bool IsWorking(const RunState& run, TimePoint now) {
  if (run.phase == RunPhase::kStopping || (run.best_effort && run.pace == 0)) return false;
  return run.phase == RunPhase::kRunning || now < run.ordered_at + kConfirmationTime;
}

bool EndsSoon(const RunState& run, TimePoint now) {
  if (run.perpetual || run.phase != RunPhase::kRunning) return false;
  const std::optional<TimePoint> end = ExpectedEnd(run.progress);
  return end && *end <= now + kHandoverTime;
}

bool IsStartExpired(const RunState& run, int64_t clock_ms) {
  if (run.started_at != TimePoint{} || run.start_lease_end_ms == 0) return false;
  return clock_ms - Milliseconds(kTimerSlack) > run.start_lease_end_ms;
}

Resources MostReleasable(const WorkerState& worker, int priority) {
  Resources most = worker.stopping;
  for (auto it = worker.preemptible.upper_bound(priority); it != worker.preemptible.end(); ++it) {
    most = most + it->second;
  }
  return most;
}

void AddRun(WorkerState* worker, const RunId& id, const jobs::Step& step, int priority,
            TimePoint now) {
  RunState run;
  run.request = step.request;
  run.best_effort = step.best_effort;
  run.perpetual = step.perpetual;
  run.checkpoint = step.checkpoint;
  run.priority = priority;
  run.target_tail_ms = step.target_tail_ms;
  run.image = step.image;
  run.ordered_at = now;
  if (!worker->runs.emplace(id, run).second) return;
  worker->tails.valid = false;
  worker->used = worker->used + RunReservation(run);
  AddToSum(worker, run);
  if (run.best_effort) worker->best_effort_cpu += run.request.cpu_milli;
  worker->best_effort_use += BestEffortUse(run);
  if (run.target_tail_ms <= 0) return;
  worker->serving += 1;
  worker->serving_cpu += run.request.cpu_milli;
}

void RemoveRun(WorkerState* worker, const RunId& id) {
  const auto it = worker->runs.find(id);
  if (it == worker->runs.end()) return;
  worker->tails.valid = false;
  worker->used = worker->used - RunReservation(it->second);
  TakeFromSum(worker, it->second);
  if (it->second.best_effort) worker->best_effort_cpu -= it->second.request.cpu_milli;
  worker->best_effort_use -= BestEffortUse(it->second);
  // Without best-effort runs a tail is no matter of pace.
  if (worker->best_effort_cpu == 0) worker->long_tail_since.reset();
  if (it->second.target_tail_ms > 0) {
    worker->serving -= 1;
    worker->serving_cpu -= it->second.request.cpu_milli;
  }
  worker->runs.erase(it);
}

}  // namespace pomelopond::dispatch
