#include "dispatch/tasks_away.h"

#include <algorithm>
#include <set>

#include "dispatch/dispatcher.h"

namespace pomelopond::dispatch {
namespace {

// Interval of the looks at the perpetual tasks.
constexpr Duration kAwayCheckInterval = std::chrono::milliseconds(200);
// Tasks that are explained in one look, those that have been away for longest.
constexpr size_t kExplainedTasks = 3;
// Tasks that have been away for less are not explained: a task that ends starts again within it.
constexpr Duration kLongAway = std::chrono::seconds(1);

// Calls `f` with each perpetual task whose turn has come, and its id.
template <class Entry, class F>
void ForPerpetualTasks(Entry* entry, F f) {
  for (auto& [k, steps] : entry->open) {
    for (size_t s = 0; s < steps.size(); ++s) {
      if (!entry->job.steps[s].perpetual) continue;
      if (!IsReady(*entry, k, static_cast<int>(s))) continue;
      auto& tasks = steps[s].tasks;
      for (size_t n = 0; n < tasks.size(); ++n) {
        f(jobs::TaskId{entry->job.id, k, static_cast<int>(s), static_cast<int>(n)}, &tasks[n]);
      }
    }
  }
}

AwayState StateOf(const JobRun& run) {
  if (run.run->phase == RunPhase::kStarting) return AwayState::kStarting;
  if (run.run->phase == RunPhase::kStopping) return AwayState::kStopping;
  return AwayState::kSilent;
}

}  // namespace

const char* AwayStateName(AwayState state) {
  switch (state) {
    case AwayState::kNoRun:
      return "no_run";
    case AwayState::kStarting:
      return "starting";
    case AwayState::kStopping:
      return "stopping";
    case AwayState::kSilent:
      return "silent";
  }
  return "unknown";
}

bool IsAtWork(const JobRun& run) {
  return run.run->phase == RunPhase::kRunning && run.worker->unanswered_heartbeats == 0;
}

void UpdateTasksAway(JobEntry* entry, TimePoint now) {
  const bool complete =
      !entry->placeable && std::all_of(entry->runs.begin(), entry->runs.end(), IsAtWork);
  // Most jobs have all their tasks at work all the time.
  if (complete && entry->tasks_away == 0) return;
  entry->tasks_away = 0;
  std::set<jobs::TaskId> at_work;
  for (const JobRun& it : entry->runs) {
    if (IsAtWork(it)) at_work.insert(it.id->task);
  }
  ForPerpetualTasks(entry, [&](const jobs::TaskId& id, TaskState* task) {
    if (at_work.count(id) > 0) return task->away_since.reset();
    entry->tasks_away += 1;
    if (!task->away_since) task->away_since = now;
  });
}

std::vector<TaskAway> TasksAway(const JobEntry& entry, TimePoint now) {
  std::vector<TaskAway> out;
  if (entry.tasks_away == 0) return out;
  ForPerpetualTasks(&entry, [&](const jobs::TaskId& id, const TaskState* task) {
    if (!task->away_since) return;
    TaskAway away;
    away.task = id;
    away.away = now - *task->away_since;
    away.run = task->last_run;
    const auto run = std::find_if(entry.runs.begin(), entry.runs.end(),
                                  [&id](const JobRun& it) { return it.id->task == id; });
    if (run != entry.runs.end()) {
      away.state = StateOf(*run);
      away.worker = run->worker->info.id;
      away.since_order = now - run->run->ordered_at;
    }
    out.push_back(away);
  });
  return out;
}

void Dispatcher::UpdateTasksAway(TimePoint now) {
  if (now < next_away_check_) return;
  next_away_check_ = now + kAwayCheckInterval;
  for (JobEntry* it : perpetual_) dispatch::UpdateTasksAway(it, now);
}

std::vector<TaskAway> Dispatcher::ExplainTasksAway(TimePoint now) {
  std::vector<TaskAway> out;
  for (const JobEntry* it : perpetual_) {
    for (TaskAway& task : TasksAway(*it, now)) {
      if (task.away >= kLongAway) out.push_back(std::move(task));
    }
  }
  std::sort(out.begin(), out.end(),
            [](const TaskAway& a, const TaskAway& b) { return a.away > b.away; });
  out.resize(std::min(out.size(), kExplainedTasks));
  for (TaskAway& it : out) {
    if (it.state != AwayState::kNoRun) continue;
    JobEntry* entry = FindEntry(it.task.job);
    PlacementRequest request = RequestOf(entry, it.task);
    request.task = FindTask(entry, it.task);
    it.obstacles = CountObstacles(workers_, request, now);
  }
  return out;
}

}  // namespace pomelopond::dispatch
