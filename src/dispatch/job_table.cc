#include "dispatch/job_table.h"

#include <algorithm>
#include <utility>

#include "jobs/job_size.h"

namespace pomelopond::dispatch {
namespace {

// All members of a gang have one checkpoint, so the first one's record holds the newest.
void KeepOneCheckpoint(const std::pair<int, int>& step, const std::vector<TaskState>& members,
                       jobs::JobProgress* progress) {
  const auto newest =
      std::max_element(members.begin(), members.end(), [](const TaskState& a, const TaskState& b) {
        return a.progress.checkpoint_run < b.progress.checkpoint_run;
      });
  if (newest->progress.done || newest->progress.checkpoint.empty()) return;
  for (int n = 1; n < static_cast<int>(members.size()); ++n) {
    progress->tasks.erase({step.first, step.second, n});
  }
  jobs::TaskProgress& first = progress->tasks[{step.first, step.second, 0}];
  first.checkpoint = newest->progress.checkpoint;
  first.checkpoint_run = newest->progress.checkpoint_run;
}

std::vector<StepState> MakeSteps(const jobs::Job& job) {
  std::vector<StepState> steps;
  for (const jobs::Step& it : job.steps) {
    StepState step;
    step.tasks.resize(static_cast<size_t>(it.replicas));
    step.waiting = it.replicas;
    steps.push_back(std::move(step));
  }
  return steps;
}

}  // namespace

void AddLocation(StepState* step, TaskState* task, const RunLocation& run) {
  task->runs.push_back(run);
  step->runs_by_worker[run.worker] += 1;
}

bool RemoveLocation(StepState* step, TaskState* task, const RunLocation& run) {
  const auto place = std::find(task->runs.begin(), task->runs.end(), run);
  if (place == task->runs.end()) return false;
  task->runs.erase(place);
  const auto count = step->runs_by_worker.find(run.worker);
  count->second -= 1;
  if (count->second == 0) step->runs_by_worker.erase(count);
  return true;
}

int RunsOnWorker(const StepState& step, const std::string& worker) {
  const auto it = step.runs_by_worker.find(worker);
  return it == step.runs_by_worker.end() ? 0 : it->second;
}

JobEntry MakeEntry(jobs::Job job, const jobs::JobProgress& progress, bool inherited) {
  JobEntry entry;
  entry.state = progress.state;
  entry.finished_ms = progress.finished_ms;
  entry.inherited = inherited;
  entry.has_gang =
      std::any_of(job.steps.begin(), job.steps.end(), [](const jobs::Step& it) { return it.gang; });
  entry.job = std::move(job);
  if (jobs::IsFinal(entry.state)) return entry;
  const int occurrences = jobs::Occurrences(entry.job);
  entry.begun = std::min(progress.begun, occurrences);
  for (const int it : progress.open) {
    if (it < entry.begun) entry.open.emplace(it, MakeSteps(entry.job));
  }
  if (entry.job.occurrences == 0) BeginThrough(&entry, 0);
  for (const auto& [key, it] : progress.tasks) {
    const auto& [occurrence, step, index] = key;
    if (occurrence < occurrences) BeginThrough(&entry, occurrence);
    const jobs::TaskId id{entry.job.id, occurrence, step, index};
    TaskState* task = FindTask(&entry, id);
    if (task == nullptr) continue;
    task->progress = it;
    if (HasRecord(entry.job, id, it)) entry.recorded += 1;
    if (!it.done) continue;
    StepState* state = StepStateOf(&entry, id);
    state->done += 1;
    state->waiting -= 1;
  }
  for (int k = 0; k < entry.begun; ++k) CloseIfDone(&entry, k);
  return entry;
}

void BeginThrough(JobEntry* entry, int occurrence) {
  for (; entry->begun <= occurrence; ++entry->begun) {
    entry->open.emplace(entry->begun, MakeSteps(entry->job));
  }
}

bool BeginDue(JobEntry* entry, int64_t wall_ms) {
  const int before = entry->begun;
  const int occurrences = jobs::Occurrences(entry->job);
  if (before == occurrences) return false;
  const auto most = static_cast<size_t>(jobs::MaxOpenOccurrences(entry->job));
  while (entry->begun < occurrences && entry->open.size() < most &&
         DueMs(entry->job, entry->begun) <= wall_ms) {
    BeginThrough(entry, entry->begun);
  }
  return entry->begun > before;
}

void CloseIfDone(JobEntry* entry, int occurrence) {
  const auto it = entry->open.find(occurrence);
  if (it == entry->open.end()) return;
  const bool done = std::all_of(it->second.begin(), it->second.end(), [](const StepState& step) {
    return step.done == static_cast<int>(step.tasks.size());
  });
  if (done) entry->open.erase(it);
}

bool HasWaitingTask(const JobEntry& entry) {
  if (jobs::IsFinal(entry.state)) return false;
  if (entry.begun < jobs::Occurrences(entry.job)) return true;
  for (const auto& [k, steps] : entry.open) {
    for (const StepState& it : steps) {
      if (it.waiting > 0) return true;
    }
  }
  return false;
}

bool HasRecord(const jobs::Job& job, const jobs::TaskId& id, const jobs::TaskProgress& progress) {
  if (progress.done || progress == jobs::TaskProgress{}) return false;
  return jobs::LeavesRecord(job.steps[static_cast<size_t>(id.step)], id.index);
}

bool MayStartTask(const JobEntry& entry, const jobs::TaskId& id, const TaskState& task) {
  if (!jobs::LeavesRecord(StepOf(entry, id), id.index)) return true;
  if (!(task.progress == jobs::TaskProgress{})) return true;
  return entry.recorded + static_cast<int64_t>(entry.runs.size()) < entry.max_tasks_under_way;
}

jobs::JobProgress ProgressOf(const JobEntry& entry) {
  jobs::JobProgress progress;
  progress.state = entry.state;
  progress.finished_ms = entry.finished_ms;
  // The progress of single tasks is not needed once the job is finished.
  if (jobs::IsFinal(entry.state)) return progress;
  progress.begun = entry.begun;
  for (const auto& [k, steps] : entry.open) {
    progress.open.insert(k);
    for (size_t s = 0; s < steps.size(); ++s) {
      const std::vector<TaskState>& tasks = steps[s].tasks;
      for (size_t n = 0; n < tasks.size(); ++n) {
        if (tasks[n].progress == jobs::TaskProgress{}) continue;
        progress.tasks[{k, static_cast<int>(s), static_cast<int>(n)}] = tasks[n].progress;
      }
      if (entry.job.steps[s].gang) KeepOneCheckpoint({k, static_cast<int>(s)}, tasks, &progress);
    }
  }
  return progress;
}

void ForgetRun(JobEntry* entry, const RunState* run) {
  entry->runs.erase(std::remove_if(entry->runs.begin(), entry->runs.end(),
                                   [run](const JobRun& it) { return it.run == run; }),
                    entry->runs.end());
}

StepState* StepStateOf(JobEntry* entry, const jobs::TaskId& id) {
  const auto it = entry->open.find(id.occurrence);
  if (it == entry->open.end()) return nullptr;
  std::vector<StepState>& steps = it->second;
  if (id.step < 0 || static_cast<size_t>(id.step) >= steps.size()) return nullptr;
  return &steps[static_cast<size_t>(id.step)];
}

TaskState* FindTask(JobEntry* entry, const jobs::TaskId& id) {
  StepState* step = StepStateOf(entry, id);
  if (step == nullptr || id.index < 0 || static_cast<size_t>(id.index) >= step->tasks.size()) {
    return nullptr;
  }
  return &step->tasks[static_cast<size_t>(id.index)];
}

bool HasStep(const jobs::Job& job, const jobs::TaskId& id) {
  return id.step >= 0 && static_cast<size_t>(id.step) < job.steps.size();
}

const jobs::Step& StepOf(const JobEntry& entry, const jobs::TaskId& id) {
  return entry.job.steps[static_cast<size_t>(id.step)];
}

bool IsReady(const JobEntry& entry, int occurrence, int step) {
  const std::vector<StepState>& steps = entry.open.at(occurrence);
  const std::vector<int>& after = entry.job.steps[static_cast<size_t>(step)].after;
  return std::all_of(after.begin(), after.end(), [&steps](int it) {
    const StepState& earlier = steps[static_cast<size_t>(it)];
    return earlier.done == static_cast<int>(earlier.tasks.size());
  });
}

int64_t DueMs(const jobs::Job& job, int occurrence) {
  if (job.occurrences == 0) return 0;
  return job.first_ms + job.interval_ms * occurrence;
}

bool HasActiveTask(const JobEntry& entry) {
  if (entry.runs.empty()) return false;
  for (const auto& [k, steps] : entry.open) {
    for (const StepState& it : steps) {
      if (it.done + it.waiting < static_cast<int>(it.tasks.size())) return true;
    }
  }
  return false;
}

bool HasReadyTask(const JobEntry& entry, int64_t wall_ms) {
  for (const auto& [k, steps] : entry.open) {
    if (wall_ms < DueMs(entry.job, k)) continue;
    for (size_t s = 0; s < steps.size(); ++s) {
      if (steps[s].waiting > 0 && IsReady(entry, k, static_cast<int>(s))) return true;
    }
  }
  return false;
}

bool IsComplete(const JobEntry& entry) {
  return entry.begun == jobs::Occurrences(entry.job) && entry.open.empty();
}

}  // namespace pomelopond::dispatch
