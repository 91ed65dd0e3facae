// Why a job that waits for long has no more runs: figures for the logs.
#ifndef POMELOPOND_DISPATCH_JOB_WAIT_H_
#define POMELOPOND_DISPATCH_JOB_WAIT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "dispatch/choose_worker.h"
#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

// A waiting job, its runs by state, and what keeps its next task off the workers.
struct JobWait {
  std::string job;
  int64_t age_ms = 0;         // since the job was accepted
  double unserved_share = 0;  // see JobEntry
  int ready_tasks = 0;        // tasks without a run whose turn has come
  int starting = 0;
  int running = 0;
  int paused = 0;
  int stopping = 0;
  // Number of workers by what keeps the first ready task off them.
  std::map<Obstacle, int> obstacles;
};

// Number of tasks without a run whose turn has come.
int CountReadyTasks(const JobEntry& entry, int64_t wall_ms);

// The first task without a run whose turn has come, or nothing. Members of a gang count as one.
std::optional<jobs::TaskId> FirstReadyTask(const JobEntry& entry, int64_t wall_ms);

// Figures of the job without its obstacles.
JobWait WaitOf(const JobEntry& entry, int64_t wall_ms);

// True when a run of the job is at work on a worker that answers: confirmed, not paused and not
// being stopped.
bool IsServed(const JobEntry& entry);

// True when the job is not served though workers have confirmed runs of it.
bool IsHeldUp(const JobEntry& entry);

// Advances the moving average of `unserved_share` by `passed`.
void UpdateUnservedShare(JobEntry* entry, Duration passed, int64_t wall_ms);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_JOB_WAIT_H_
