#include "dispatch/job_rank.h"

#include <algorithm>

namespace pomelopond::dispatch {
namespace {

// Weight of one task in the moving average of its image.
constexpr double kDurationLearningRate = 0.1;
// Bounds of the ratio of measured to estimated duration that one task contributes.
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10;
// A late job is still useful up to this multiple of its objective.
constexpr double kLateFactor = 3;
// With so many runs at work a job has no successor that is owed, also if they go on for longer than
// expected.
constexpr int kMostOwedRuns = 3;
constexpr double kMilli = 1000;

// Length in ms of the critical path, given the time that each step takes.
template <class F>
double CriticalPathMs(const jobs::Job& job, F step_ms) {
  std::vector<double> ends;
  double longest = 0;
  for (size_t n = 0; n < job.steps.size(); ++n) {
    double start = 0;
    for (const int it : job.steps[n].after) start = std::max(start, ends[static_cast<size_t>(it)]);
    ends.push_back(start + step_ms(n));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

double WholeCriticalPathMs(const DurationModel& model, const JobEntry& entry) {
  return CriticalPathMs(entry.job, [&](size_t n) { return ExpectedMs(model, entry.job.steps[n]); });
}

int64_t OpenTasks(const StepState& step) {
  return static_cast<int64_t>(step.tasks.size()) - step.done;
}

TurnKind TurnKindOf(Lateness lateness) {
  switch (lateness) {
    case Lateness::kOnTime:
      return TurnKind::kOnTime;
    case Lateness::kLate:
      return TurnKind::kLate;
    case Lateness::kTooLate:
      return TurnKind::kTooLate;
  }
  return TurnKind::kTooLate;
}

}  // namespace

void LearnDuration(DurationModel* model, const jobs::Step& step, int64_t took_ms) {
  if (step.estimate_ms <= 0 || step.image.empty()) return;
  const double ratio = std::clamp(
      static_cast<double>(took_ms) / static_cast<double>(step.estimate_ms), kMinRatio, kMaxRatio);
  const auto [it, added] = model->try_emplace(step.image, ratio);
  if (!added) it->second += kDurationLearningRate * (ratio - it->second);
}

double ExpectedMs(const DurationModel& model, const jobs::Step& step) {
  const auto it = model.find(step.image);
  return static_cast<double>(step.estimate_ms) * (it == model.end() ? 1.0 : it->second);
}

double RemainingCriticalPathMs(const DurationModel& model, const JobEntry& entry,
                               int64_t room_cpu_milli) {
  double longest = 0;
  for (const auto& it : entry.open) {
    const std::vector<StepState>& steps = it.second;
    longest = std::max(longest, CriticalPathMs(entry.job, [&](size_t n) {
                         const int64_t left = OpenTasks(steps[n]);
                         if (left == 0) return 0.0;
                         const jobs::Step& step = entry.job.steps[n];
                         const int64_t waves = WavesOf(step, left, room_cpu_milli);
                         return static_cast<double>(waves) * ExpectedMs(model, step);
                       }));
  }
  return longest;
}

double TasksWorkMs(const DurationModel& model, const jobs::Step& step, int64_t tasks) {
  return static_cast<double>(tasks) * ExpectedMs(model, step) *
         static_cast<double>(step.request.cpu_milli) / kMilli;
}

double RemainingWorkMs(const DurationModel& model, const JobEntry& entry) {
  double work = 0;
  for (const auto& it : entry.open) {
    for (size_t n = 0; n < it.second.size(); ++n) {
      work += TasksWorkMs(model, entry.job.steps[n], OpenTasks(it.second[n]));
    }
  }
  return work;
}

double WorkMs(const DurationModel& model, const jobs::Job& job) {
  double work = 0;
  for (const jobs::Step& it : job.steps) work += TasksWorkMs(model, it, it.replicas);
  return work;
}

double ObjectiveMs(const DurationModel& model, const JobEntry& entry) {
  return entry.job.rules.stretch * WholeCriticalPathMs(model, entry) +
         static_cast<double>(entry.job.rules.target_duration_ms);
}

Estimates EstimatesOf(const DurationModel& model, const JobEntry& entry) {
  Estimates out;
  out.remaining_ms = RemainingCriticalPathMs(model, entry);
  out.objective_ms = ObjectiveMs(model, entry);
  // Perpetual jobs have no completion that could be late, and recurring jobs become due again and
  // again.
  out.has_deadline = entry.job.occurrences == 0 && !jobs::IsPerpetual(entry.job);
  return out;
}

Estimates EstimatesOf(const DurationModel& model, const JobEntry& entry, double mean_work_ms,
                      int64_t room_cpu_milli) {
  Estimates out = EstimatesOf(model, entry);
  out.remaining_ms = RemainingCriticalPathMs(model, entry, room_cpu_milli);
  out.cost_class = kFirstCostClass;
  if (!out.has_deadline || IsOrderedByAge(entry.job.id)) return out;
  const double value = ValueOf(WorkMs(model, entry.job), mean_work_ms);
  out.cost_class = CostClassOf(RemainingWorkMs(model, entry), value);
  return out;
}

double LaxityMs(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms) {
  return estimates.objective_ms - estimates.remaining_ms -
         static_cast<double>(wall_ms - entry.job.accepted_ms);
}

Lateness LatenessOf(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms) {
  if (!estimates.has_deadline) return Lateness::kOnTime;
  const double end = static_cast<double>(wall_ms - entry.job.accepted_ms) + estimates.remaining_ms;
  if (end <= estimates.objective_ms) return Lateness::kOnTime;
  return end <= kLateFactor * estimates.objective_ms ? Lateness::kLate : Lateness::kTooLate;
}

TurnRank RankOf(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms) {
  const bool pending = entry.state == jobs::JobState::kPending && !HasActiveTask(entry);
  const TurnKind kind = TurnKindOf(LatenessOf(estimates, entry, wall_ms));
  const bool newest_first = pending && kind != TurnKind::kTooLate;
  const int64_t age_order = newest_first ? -entry.job.accepted_ms : entry.job.accepted_ms;
  const bool by_cost = kind != TurnKind::kTooLate && estimates.cost_class;
  const int64_t order = by_cost ? CostOrder(*estimates.cost_class, age_order) : age_order;
  return {entry.job.rules.priority, kind, pending, order};
}

bool IsIdleForLong(const JobEntry& entry, TimePoint now) {
  return entry.idle_since && now - *entry.idle_since >= kIdlePatience;
}

RunCounts CountRuns(const JobEntry& entry, TimePoint now) {
  RunCounts out;
  for (const JobRun& it : entry.runs) {
    if (it.worker->unanswered_calls > 0 || !IsWorking(*it.run, now)) continue;
    out.working += 1;
    out.lasting += EndsSoon(*it.run, now) ? 0 : 1;
  }
  return out;
}

bool IsOwed(TurnKind kind) {
  return kind == TurnKind::kFirstRun || kind == TurnKind::kSuccessor ||
         kind == TurnKind::kSecondRun;
}

bool HasOwedRuns(TurnKind kind, const RunCounts& runs) {
  switch (kind) {
    case TurnKind::kFirstRun:
      return runs.working >= 1;
    case TurnKind::kSuccessor:
      return runs.lasting >= 1 || runs.working >= kMostOwedRuns;
    case TurnKind::kSecondRun:
      return runs.working >= 2;
    default:
      return false;
  }
}

std::vector<TurnKind> OwedTurns(const JobEntry& entry, const RunCounts& runs, TimePoint now,
                                int64_t wall_ms) {
  if (LatenessOf(entry.estimates, entry, wall_ms) == Lateness::kOnTime) {
    if (IsIdleForLong(entry, now)) return {TurnKind::kFirstRun};
    return {};
  }
  std::vector<TurnKind> out;
  for (const TurnKind it : {TurnKind::kFirstRun, TurnKind::kSuccessor, TurnKind::kSecondRun}) {
    if (!HasOwedRuns(it, runs)) out.push_back(it);
  }
  return out;
}

TurnRank OwedRunRank(const JobEntry& entry, TurnKind kind) {
  const int64_t order = kind == TurnKind::kFirstRun
                            ? entry.idle_since.value_or(TimePoint{}).time_since_epoch().count()
                            : entry.job.accepted_ms;
  return {entry.job.rules.priority, kind, false, order};
}

}  // namespace pomelopond::dispatch
