#include "dispatch/job_table.h"

#include <algorithm>
#include <utility>

namespace pomelopond::dispatch {
namespace {

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

JobEntry MakeEntry(jobs::Job job, const jobs::JobProgress& progress, bool inherited) {
  JobEntry entry;
  entry.state = progress.state;
  entry.finished_ms = progress.finished_ms;
  entry.inherited = inherited;
  for (int n = 0; n < jobs::Occurrences(job); ++n) entry.steps.push_back(MakeSteps(job));
  entry.has_gang =
      std::any_of(job.steps.begin(), job.steps.end(), [](const jobs::Step& it) { return it.gang; });
  entry.job = std::move(job);
  for (const auto& [key, it] : progress.tasks) {
    const auto& [occurrence, step, index] = key;
    const jobs::TaskId id{entry.job.id, occurrence, step, index};
    TaskState* task = FindTask(&entry, id);
    if (task == nullptr) continue;
    task->progress = it;
    if (!it.done) continue;
    StepState* state = StepStateOf(&entry, id);
    state->done += 1;
    state->waiting -= 1;
  }
  return entry;
}

jobs::JobProgress ProgressOf(const JobEntry& entry) {
  jobs::JobProgress progress;
  progress.state = entry.state;
  progress.finished_ms = entry.finished_ms;
  // The progress of single tasks is not needed once the job is finished.
  if (jobs::IsFinal(entry.state)) return progress;
  for (size_t k = 0; k < entry.steps.size(); ++k) {
    for (size_t s = 0; s < entry.steps[k].size(); ++s) {
      const std::vector<TaskState>& tasks = entry.steps[k][s].tasks;
      for (size_t n = 0; n < tasks.size(); ++n) {
        if (tasks[n].progress == jobs::TaskProgress{}) continue;
        progress.tasks[{static_cast<int>(k), static_cast<int>(s), static_cast<int>(n)}] =
            tasks[n].progress;
      }
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
  if (id.occurrence < 0 || static_cast<size_t>(id.occurrence) >= entry->steps.size()) {
    return nullptr;
  }
  std::vector<StepState>& steps = entry->steps[static_cast<size_t>(id.occurrence)];
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

const jobs::Step& StepOf(const JobEntry& entry, const jobs::TaskId& id) {
  return entry.job.steps[static_cast<size_t>(id.step)];
}

bool IsReady(const JobEntry& entry, int occurrence, int step) {
  const std::vector<StepState>& steps = entry.steps[static_cast<size_t>(occurrence)];
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
  for (const std::vector<StepState>& steps : entry.steps) {
    for (const StepState& it : steps) {
      if (it.done + it.waiting < static_cast<int>(it.tasks.size())) return true;
    }
  }
  return false;
}

bool HasReadyTask(const JobEntry& entry, int64_t wall_ms) {
  for (size_t k = 0; k < entry.steps.size(); ++k) {
    const int occurrence = static_cast<int>(k);
    if (wall_ms < DueMs(entry.job, occurrence)) continue;
    for (size_t s = 0; s < entry.steps[k].size(); ++s) {
      if (entry.steps[k][s].waiting == 0) continue;
      if (IsReady(entry, occurrence, static_cast<int>(s))) return true;
    }
  }
  return false;
}

bool IsComplete(const JobEntry& entry) {
  for (const std::vector<StepState>& steps : entry.steps) {
    for (const StepState& it : steps) {
      if (it.done < static_cast<int>(it.tasks.size())) return false;
    }
  }
  return true;
}

}  // namespace pomelopond::dispatch
