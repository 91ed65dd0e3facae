#include "dispatch/failures.h"

#include <algorithm>

namespace pomelopond::dispatch {
namespace {

// After this many consecutive failed runs a worker is suspect. The time starts at kFailureBackoff
// and doubles with each further failure up to kMaxFailureBackoff.
constexpr int kFailuresBeforeBackoff = 2;
constexpr Duration kFailureBackoff = std::chrono::seconds(2);
constexpr Duration kMaxFailureBackoff = std::chrono::seconds(8);
// Minimum time between perpetual tasks that are tried on a suspect worker for lack of another one.
constexpr Duration kSuspectRetryInterval = std::chrono::seconds(1);

// Time between trials on a worker whose last runs have failed. Most tasks that fail do so earlier.
constexpr Duration kTrialInterval = std::chrono::seconds(2);

// Failed runs of a step say nothing more of a worker once runs of the step have failed on this many
// other workers: the task itself is at fault.
constexpr size_t kWorkersThatClearOthers = 2;
// A run that fails after this time has worked until then.
constexpr Duration kWorkingTime = std::chrono::seconds(10);

// A run whose progress doesn't change for this time is stalled.
constexpr Duration kStallLimit = std::chrono::seconds(3);
// The same for a run that the owner has paused: its worker may need the processor time for long.
constexpr Duration kPausedLimit = std::chrono::seconds(1);
// A task that takes this many times its expected duration still progresses by a percent in time.
constexpr double kSlowestTask = 10;
constexpr double kFullPercent = 100;

}  // namespace

bool RecordStepFailure(StepState* step, const std::string& worker, Duration took) {
  if (took >= kWorkingTime) step->failed_on.clear();
  const size_t others = step->failed_on.size() - step->failed_on.count(worker);
  step->failed_on.insert(worker);
  return others < kWorkersThatClearOthers;
}

void CountFailure(WorkerState* worker, TimePoint now) {
  worker->failures += 1;
  if (worker->failures < kFailuresBeforeBackoff) return;
  Duration backoff = kFailureBackoff;
  for (int n = kFailuresBeforeBackoff; n < worker->failures && backoff < kMaxFailureBackoff; ++n) {
    backoff *= 2;
  }
  worker->suspect_retry_at = now + kSuspectRetryInterval;
  worker->backoff_until = std::max(worker->backoff_until, worker->suspect_retry_at);
  worker->suspect_until =
      std::max(worker->suspect_until, now + std::min(backoff, kMaxFailureBackoff));
}

bool RecordTrial(WorkerState* worker, bool perpetual, TimePoint now) {
  if (perpetual || worker->failures < kFailuresBeforeBackoff) return false;
  worker->suspect_until = std::max(worker->suspect_until, now + kTrialInterval);
  return true;
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
