#include "dispatch/failures.h"

#include <algorithm>
#include <iterator>

namespace pomelopond::dispatch {
namespace {

// After this many consecutive failed runs a worker is suspect. The time starts at kFailureBackoff
// and doubles with each further failure up to kMaxFailureBackoff.
constexpr int kFailuresBeforeBackoff = 2;
constexpr Duration kFailureBackoff = std::chrono::seconds(2);
constexpr Duration kMaxFailureBackoff = std::chrono::seconds(8);
// Time from the first suspicion, or from a trial, to the next trial on a suspect worker. A task
// that waits starts within 3 s also where all workers are suspect. Perpetual tasks lose no
// attempts.
constexpr Duration kTrialInterval = std::chrono::seconds(1);
constexpr Duration kPerpetualTrialInterval = std::chrono::milliseconds(250);
// A trial keeps its worker suspect for this time. Most tasks that fail do so earlier.
constexpr Duration kTrialTime = std::chrono::seconds(2);

// Failed runs of a step say nothing more of a worker once runs of the step have failed on this many
// other workers: the task itself is at fault.
constexpr size_t kWorkersThatClearOthers = 2;
// Time for which a failure of a step counts. Perpetual tasks that fail after they have worked for
// long fail once in a while on each worker.
constexpr Duration kStepFailureMemory = std::chrono::seconds(60);

// The attempt that is not spent on a suspect worker.
constexpr int kLastAttempt = 1;

// A run whose progress doesn't change for this time is stalled.
constexpr Duration kStallLimit = std::chrono::seconds(3);
// The same for a run that the owner has paused: its worker may need the processor time for long.
constexpr Duration kPausedLimit = std::chrono::seconds(1);
// A task that takes this many times its expected duration still progresses by a percent in time.
constexpr double kSlowestTask = 10;
constexpr double kFullPercent = 100;

}  // namespace

bool IsSuspect(const WorkerState& worker, TimePoint now) { return now < worker.suspect_until; }

bool RecordStepFailure(StepState* step, const std::string& worker, TimePoint now) {
  for (auto it = step->failed_on.begin(); it != step->failed_on.end();) {
    it = now > it->second + kStepFailureMemory ? step->failed_on.erase(it) : std::next(it);
  }
  const size_t others = step->failed_on.size() - step->failed_on.count(worker);
  step->failed_on[worker] = now;
  return others < kWorkersThatClearOthers;
}

void CountFailure(WorkerState* worker, bool trial, TimePoint now) {
  worker->failures += 1;
  if (worker->failures < kFailuresBeforeBackoff || trial) return;
  Duration backoff = kFailureBackoff;
  for (int n = kFailuresBeforeBackoff; n < worker->failures && backoff < kMaxFailureBackoff; ++n) {
    backoff *= 2;
  }
  // Failures of runs that go on there put off no trial: a worker on which many tasks run that fail
  // would never get one.
  if (!IsSuspect(*worker, now)) {
    worker->next_trial = worker->next_perpetual_trial = now + kTrialInterval;
  }
  worker->suspect_until =
      std::max(worker->suspect_until, now + std::min(backoff, kMaxFailureBackoff));
}

void ClearSuspicion(WorkerState* worker) {
  worker->failures = 0;
  worker->suspect_until = TimePoint{};
}

bool RecordTrial(WorkerState* worker, RunState* run, bool one_by_one, TimePoint now) {
  run->is_trial = IsSuspect(*worker, now);
  const bool after_failures = !run->perpetual && worker->failures >= kFailuresBeforeBackoff;
  if (after_failures && one_by_one) {
    worker->suspect_until = std::max(worker->suspect_until, now + kTrialTime);
  }
  if (run->perpetual) worker->next_perpetual_trial = now + kPerpetualTrialInterval;
  if (!run->perpetual) worker->next_trial = now + kTrialInterval;
  return after_failures;
}

bool MayTry(const WorkerState& worker, const PlacementRequest& request, TimePoint now) {
  if (request.step->perpetual) return now >= worker.next_perpetual_trial;
  if (now < worker.next_trial || request.attempts_left <= kLastAttempt) return false;
  const std::string& id = worker.info.id;
  if (request.step->gang)
    return request.state == nullptr || request.state->failed_on.count(id) == 0;
  return request.task == nullptr || request.task->failed_on.count(id) == 0;
}

void UpdateProgress(RunState* run, int percent, Duration covered, TimePoint now) {
  // A run that is slowed down needs more time for the same progress.
  const bool slowed = run->best_effort && run->pace > 0 && run->pace < kFullPercent;
  const Duration counted = slowed ? covered * run->pace / static_cast<int>(kFullPercent) : covered;
  const bool same = percent == run->progress.percent;
  run->without_progress = same ? run->without_progress + counted : Duration{};
  AddProgress(&run->progress, percent, now);
}

bool IsStalled(const RunState& run, const jobs::Step& step, double expected_ms) {
  // A perpetual run reports no progress while it works, nor does a gang that waits for a member.
  if (run.phase != RunPhase::kRunning || step.perpetual || step.gang) return false;
  if (run.best_effort && run.pace == 0) return run.without_progress >= kPausedLimit;
  const auto per_percent = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(kSlowestTask * expected_ms / kFullPercent));
  return run.without_progress >= std::max(kStallLimit, per_percent);
}

}  // namespace pomelopond::dispatch
