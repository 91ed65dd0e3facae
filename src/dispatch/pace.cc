#include "dispatch/pace.h"

#include <algorithm>
#include <utility>

namespace pomelopond::dispatch {
namespace {

// From this ratio of a tail to its target on, reports are frequent. The worst of ten tails is often
// twice the median, so a lower bound would hardly ever be met.
constexpr double kLowTailRatio = 0.75;
// Runs are slowed down so far that the tail is expected at this ratio to its target.
constexpr double kTailGoal = 0.8;
// Below this ratio runs get their full share back, as long as the tail is expected to stay below
// kHighTailRatio.
constexpr double kRaiseTailRatio = 0.85;
// Least part of a ratio that best-effort runs are taken to add, as a baseline may be overestimated.
constexpr double kMinAddedRatio = 0.05;
// Minimum time between changes of pace on a worker. A reported tail covers half a second, so an
// earlier one tells little of the last change.
constexpr Duration kSettleTime = std::chrono::milliseconds(400);
// The same before a run gets more.
constexpr Duration kRaiseInterval = std::chrono::milliseconds(800);
// Time for which a tail may stay too long before all best-effort runs beside it are paused.
constexpr Duration kTailPatience = std::chrono::milliseconds(1500);

// A best-effort run whose pace may be ordered, and what it adds to a tail.
struct Contribution {
  RunId id;
  int pace = kFullPace;
  bool unknown = false;  // the pace is assumed
  double full = 0;       // slowdown at the full share

  double Added() const { return full * pace / kFullPace; }
};

bool IsPaceable(const RunState& run) {
  return run.best_effort && run.phase == RunPhase::kRunning && !run.call_in_flight;
}

// Highest contribution first. A run of unknown pace counts as one with its full share.
std::vector<Contribution> ContributionsTo(const ColocationModel& model, const WorkerState& worker,
                                          const std::string& served) {
  std::vector<Contribution> out;
  for (const auto& [id, it] : worker.runs) {
    if (!IsPaceable(it)) continue;
    const bool unknown = it.pace < 0;
    out.push_back({id, unknown ? kFullPace : it.pace, unknown, SlowdownByRun(model, served, it)});
  }
  std::sort(out.begin(), out.end(),
            [](const Contribution& a, const Contribution& b) { return a.full > b.full; });
  return out;
}

double SumAdded(const std::vector<Contribution>& runs) {
  double sum = 0;
  for (const Contribution& it : runs) sum += it.Added();
  return sum;
}

// Slows down the runs that add most, as many as it takes. Those that add nothing stay.
std::vector<PaceChange> SlowDown(const std::vector<Contribution>& runs, double ratio,
                                 double baseline) {
  std::vector<PaceChange> out;
  const double share = (ratio - kTailGoal) / std::max(ratio - baseline, kMinAddedRatio);
  double excess = SumAdded(runs) * std::min(1.0, share);
  for (const Contribution& it : runs) {
    const bool slows = excess > 0 && it.pace > kLowPace;
    if (slows) excess -= it.full * (it.pace - kLowPace) / kFullPace;
    if (slows || it.unknown) out.push_back({it.id, slows ? kLowPace : it.pace});
  }
  return out;
}

// Gives runs their full share back, those that add least first, and ends the pause of the others.
// While the tail is short one run gets it whatever the model expects, which may be wrong.
std::vector<PaceChange> SpeedUp(const std::vector<Contribution>& runs, double ratio,
                                double baseline) {
  std::vector<PaceChange> out;
  const double sum = SumAdded(runs);
  // What paused runs will add can't be seen in the tail, so the model counts at least.
  const double ratio_per_slowdown = std::max(baseline, sum > 0 ? (ratio - baseline) / sum : 0);
  double expected = ratio;
  for (auto it = runs.rbegin(); it != runs.rend(); ++it) {
    if (it->pace >= kFullPace) continue;
    expected += ratio_per_slowdown * (it->full - it->Added());
    const bool tries_one = ratio < kLowTailRatio && out.empty();
    const bool raises = expected <= kHighTailRatio || tries_one;
    if (raises || it->pace < kLowPace) out.push_back({it->id, raises ? kFullPace : kLowPace});
  }
  return out;
}

std::vector<PaceChange> OrderUnknown(const std::vector<Contribution>& runs, double ratio) {
  std::vector<PaceChange> out;
  for (const Contribution& it : runs) {
    if (it.unknown) out.push_back({it.id, ratio > kHighTailRatio ? kLowPace : kFullPace});
  }
  return out;
}

std::vector<PaceChange> SetAll(const WorkerState& worker, int pace) {
  std::vector<PaceChange> out;
  for (const auto& [id, it] : worker.runs) {
    if (IsPaceable(it) && it.pace != pace) out.push_back({id, pace});
  }
  return out;
}

}  // namespace

bool MayNeedPace(const WorkerState& worker) {
  if (worker.serving == 0 || worker.best_effort_cpu == 0) return false;
  return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
    const RunState& run = entry.second;
    if (run.best_effort) return run.pace < kFullPace;
    // The last tail rises before the smoothed one.
    const double tail = std::max(run.tail_ms, static_cast<double>(run.load));
    return IsServing(run) && tail >= kLowTailRatio * static_cast<double>(run.target_tail_ms);
  });
}

void UpdateLongTail(WorkerState* worker, TimePoint now) {
  const double ratio = WorstTailRatio(*worker);
  // A tail that is over its target for most of the time is reported below it now and then.
  if (ratio <= kTailGoal) worker->long_tail_since.reset();
  if (ratio > 1 && !worker->long_tail_since) worker->long_tail_since = now;
}

bool HasPersistentTail(const WorkerState& worker, TimePoint now) {
  return worker.long_tail_since && now >= *worker.long_tail_since + kTailPatience &&
         WorstTailRatio(worker) > 1;
}

std::vector<PaceChange> PaceChanges(const ColocationModel& model, const WorkerState& worker,
                                    TimePoint now) {
  if (HasPersistentTail(worker, now)) return SetAll(worker, 0);
  if (now < worker.paced_at + kSettleTime) return {};
  const RunState* served = MostHarmedRun(worker);
  if (served == nullptr) return SetAll(worker, kFullPace);
  const double ratio = TailRatio(*served);
  const double baseline = BaselineTailRatio(model, *served);
  const std::vector<Contribution> runs = ContributionsTo(model, worker, served->image);
  if (ratio > kHighTailRatio) return SlowDown(runs, ratio, baseline);
  const bool unknown =
      std::any_of(runs.begin(), runs.end(), [](const Contribution& it) { return it.unknown; });
  if (unknown) return OrderUnknown(runs, ratio);
  const bool may_raise = ratio < kRaiseTailRatio && now >= worker.paced_at + kRaiseInterval;
  return may_raise ? SpeedUp(runs, ratio, baseline) : std::vector<PaceChange>{};
}

}  // namespace pomelopond::dispatch
