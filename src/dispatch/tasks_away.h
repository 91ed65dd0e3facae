// Perpetual tasks that are not at work, for placements and logs.
#ifndef POMELOPOND_DISPATCH_TASKS_AWAY_H_
#define POMELOPOND_DISPATCH_TASKS_AWAY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/choose_worker.h"
#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

// What a task that is away has in place of a run at work.
enum class AwayState {
  kNoRun,
  kStarting,  // a start that no worker has confirmed
  kStopping,  // a run that is being stopped
  kSilent,    // a run on a worker that does not answer
};

const char* AwayStateName(AwayState state);

// A perpetual task that is not at work, and what it waits for.
struct TaskAway {
  jobs::TaskId task;
  Duration away{};  // since it was last seen at work
  AwayState state = AwayState::kNoRun;
  int64_t run = 0;         // its last run
  std::string worker;      // of that run, unless it has none
  Duration since_order{};  // since the run was ordered, unless it has none
  // Number of workers by what keeps the task off them. Set for a task without a run.
  std::map<Obstacle, int> obstacles;
};

// True when the worker has confirmed the run, is not told to stop it and answers heartbeats. Other
// calls to a worker may get lost while it is well.
bool IsAtWork(const JobRun& run);

// Updates `away_since` of the job's perpetual tasks.
void UpdateTasksAway(JobEntry* entry, TimePoint now);

// The perpetual tasks of the job that are away, without their obstacles.
std::vector<TaskAway> TasksAway(const JobEntry& entry, TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_TASKS_AWAY_H_
