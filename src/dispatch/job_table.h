// The jobs of a pool in memory: their tasks, runs and what of them is not durable yet.
#ifndef POMELOPOND_DISPATCH_JOB_TABLE_H_
#define POMELOPOND_DISPATCH_JOB_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "dispatch/permit.h"
#include "dispatch/worker.h"
#include "jobs/progress.h"

namespace pomelopond::dispatch {

// Where one run of a task is.
struct RunLocation {
  int64_t run = 0;
  std::string worker;
};

struct TaskState {
  jobs::TaskProgress progress;
  std::vector<RunLocation> runs;    // active, at most one unless the step is speculative
  std::set<std::string> failed_on;  // workers where a run failed
  int64_t first_run = 0;            // the first run number that this owner used
  int64_t last_run = 0;             // the highest run number used
};

struct StepState {
  std::vector<TaskState> tasks;
  int done = 0;         // tasks that are done
  int waiting = 0;      // tasks that are not done and have no active run
  StepPermits permits;  // of queues that need them
};

// What the order of jobs needs to know of one (dispatch/order.h).
struct Estimates {
  double remaining_ms = 0;   // the longest chain of tasks that are not done
  double objective_ms = 0;   // from acceptance to the end
  bool has_deadline = true;  // false for perpetual and recurring jobs
};

struct JobEntry {
  jobs::Job job;
  jobs::JobState state = jobs::JobState::kPending;
  int64_t finished_ms = 0;
  bool inherited = false;  // accepted before this owner took over
  int64_t revision = 0;    // of its record in the store
  Estimates estimates;
  TimePoint estimates_valid_until;  // they are made again after this time
  // By occurrence, then step.
  std::vector<std::vector<StepState>> steps;
};

JobEntry MakeEntry(jobs::Job job, const jobs::JobProgress& progress, bool inherited);

jobs::JobProgress ProgressOf(const JobEntry& entry);

// The task, or null when the job has no such task.
TaskState* FindTask(JobEntry* entry, const jobs::TaskId& id);
const jobs::Step& StepOf(const JobEntry& entry, const jobs::TaskId& id);
StepState* StepStateOf(JobEntry* entry, const jobs::TaskId& id);

// True when every step that `step` waits for is done.
bool IsReady(const JobEntry& entry, int occurrence, int step);

// When the occurrence is due, milliseconds since the Unix epoch.
int64_t DueMs(const jobs::Job& job, int occurrence);

// True when all tasks of all occurrences are done.
bool IsComplete(const JobEntry& entry);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_JOB_TABLE_H_
