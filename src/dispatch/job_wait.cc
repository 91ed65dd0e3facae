#include "dispatch/job_wait.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

#include "base/log.h"
#include "dispatch/dispatcher.h"

namespace pomelopond::dispatch {
namespace {

// Time constant of the moving average of a job's unserved share.
constexpr Duration kUnservedWindow = std::chrono::seconds(3);
// Jobs that are explained in one look, those with the highest unserved share.
constexpr size_t kExplainedJobs = 3;
// Jobs with less unserved time are not explained.
constexpr double kLowUnservedShare = 0.1;
// The ends of an explained job's runs leave lines for this time.
constexpr Duration kWatchTime = std::chrono::seconds(20);
// Lines about runs between two looks at the waiting jobs.
constexpr int kRunLinesPerLook = 40;

bool IsPaused(const RunState& run) { return run.best_effort && run.pace == 0; }

}  // namespace

int CountReadyTasks(const JobEntry& entry, int64_t wall_ms) {
  int n = 0;
  for (const auto& [k, steps] : entry.open) {
    if (wall_ms < DueMs(entry.job, k)) continue;
    for (size_t s = 0; s < steps.size(); ++s) {
      if (IsReady(entry, k, static_cast<int>(s))) n += steps[s].waiting;
    }
  }
  return n;
}

std::optional<jobs::TaskId> FirstReadyTask(const JobEntry& entry, int64_t wall_ms) {
  for (const auto& [k, steps] : entry.open) {
    if (wall_ms < DueMs(entry.job, k)) continue;
    for (size_t s = 0; s < steps.size(); ++s) {
      const StepState& step = steps[s];
      if (step.waiting == 0) continue;
      if (!IsReady(entry, k, static_cast<int>(s))) continue;
      const auto task = std::find_if(step.tasks.begin(), step.tasks.end(), [](const TaskState& it) {
        return !it.progress.done && it.runs.empty();
      });
      if (task == step.tasks.end()) continue;
      return jobs::TaskId{entry.job.id, k, static_cast<int>(s),
                          static_cast<int>(task - step.tasks.begin())};
    }
  }
  return std::nullopt;
}

JobWait WaitOf(const JobEntry& entry, int64_t wall_ms) {
  JobWait wait;
  wait.job = entry.job.id;
  wait.age_ms = wall_ms - entry.job.accepted_ms;
  wait.unserved_share = entry.unserved_share;
  wait.ready_tasks = CountReadyTasks(entry, wall_ms);
  for (const auto& [id, it, worker] : entry.runs) {
    if (it->phase == RunPhase::kStarting) wait.starting += 1;
    if (it->phase == RunPhase::kStopping) wait.stopping += 1;
    if (it->phase != RunPhase::kRunning) continue;
    (IsPaused(*it) ? wait.paused : wait.running) += 1;
  }
  return wait;
}

bool IsServed(const JobEntry& entry) {
  return std::any_of(entry.runs.begin(), entry.runs.end(), [](const JobRun& it) {
    return it.run->phase == RunPhase::kRunning && !IsPaused(*it.run) &&
           it.worker->unanswered_calls == 0;
  });
}

bool IsHeldUp(const JobEntry& entry) {
  return !IsServed(entry) &&
         std::any_of(entry.runs.begin(), entry.runs.end(),
                     [](const JobRun& it) { return it.run->started_at != TimePoint{}; });
}

void UpdateUnservedShare(JobEntry* entry, Duration passed, int64_t wall_ms) {
  const bool unserved = !IsServed(*entry) && HasReadyTask(*entry, wall_ms);
  const double weight = 1 - std::exp(-std::chrono::duration<double>(passed).count() /
                                     std::chrono::duration<double>(kUnservedWindow).count());
  entry->unserved_share += weight * ((unserved ? 1 : 0) - entry->unserved_share);
}

std::vector<JobWait> Dispatcher::ExplainWaits(TimePoint now, int64_t wall_ms) {
  run_lines_left_ = kRunLinesPerLook;
  std::vector<std::pair<double, JobEntry*>> waiting;
  for (JobEntry* it : placeable_) {
    if (it->unserved_share >= kLowUnservedShare) waiting.emplace_back(it->unserved_share, it);
  }
  const size_t n = std::min(waiting.size(), kExplainedJobs);
  std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(n),
                    waiting.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
  waiting.resize(n);
  std::vector<JobWait> out;
  for (const auto& [share, entry] : waiting) {
    out.push_back(WaitOf(*entry, wall_ms));
    watched_jobs_[entry->job.id] = now + kWatchTime;
    const std::optional<jobs::TaskId> task = FirstReadyTask(*entry, wall_ms);
    if (!task) continue;
    PlacementRequest request = RequestOf(entry, *task);
    request.task = FindTask(entry, *task);
    const std::vector<TurnKind> owed = OwedTurns(*entry, CountRuns(*entry, now), now, wall_ms);
    if (IsInUnderusedPool(*entry) && !owed.empty()) {
      AdmitOwedRun(*entry, owed.front(), now, &request);
    }
    out.back().obstacles = CountObstacles(workers_, request, now);
  }
  for (auto it = watched_jobs_.begin(); it != watched_jobs_.end();) {
    it = now >= it->second ? watched_jobs_.erase(it) : std::next(it);
  }
  return out;
}

void Dispatcher::LogWatchedRun(const WorkerState& worker, const EndedRun& end, const RunState& run,
                               TimePoint now) {
  const auto ms_ago = [now](TimePoint it) {
    return it == TimePoint{} ? -1 : Milliseconds(now - it);
  };
  if (watched_jobs_.count(end.id.task.job) == 0) return;
  if (run_lines_left_ == 0) run_lines_left_out_ += 1;
  if (run_lines_left_ == 0) return;
  run_lines_left_ -= 1;
  const Duration paused = run.paused_for + (run.pace == 0 ? now - run.paused_at : Duration{});
  Log(LogLevel::kInfo, "dispatch", "run_over",
      {{"job", end.id.task.job},
       {"step", end.id.task.step},
       {"index", end.id.task.index},
       {"run", end.id.run},
       {"worker", worker.info.id},
       {"end", EndKindName(end.kind)},
       {"ordered_ms_ago", ms_ago(run.ordered_at)},
       {"started_ms_ago", ms_ago(run.started_at)},
       {"paused_ms", Milliseconds(paused)},
       {"pace", run.pace},
       {"stop", StopReasonName(run.stop_reason)}});
}

}  // namespace pomelopond::dispatch
