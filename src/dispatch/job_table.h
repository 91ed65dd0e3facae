// In-memory state of the jobs of a pool: progress, runs and waiting tasks.
#ifndef POMELOPOND_DISPATCH_JOB_TABLE_H_
#define POMELOPOND_DISPATCH_JOB_TABLE_H_

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "dispatch/permit.h"
#include "dispatch/worker_table.h"
#include "jobs/progress.h"

namespace pomelopond::dispatch {

// Worker of one active run of a task.
struct RunLocation {
  int64_t run = 0;
  std::string worker;

  friend bool operator==(const RunLocation& a, const RunLocation& b) {
    return std::tie(a.run, a.worker) == std::tie(b.run, b.worker);
  }
};

struct TaskState {
  jobs::TaskProgress progress;
  std::vector<RunLocation> runs;    // active; at most one unless the step is speculative
  std::set<std::string> failed_on;  // workers on which a run failed
  int64_t first_run = 0;            // first run number that this owner used; 0: none
  int64_t last_run = 0;             // highest run number used
  // The one run that earlier owners can have left was active when none of them could be told of its
  // end any more. Set for perpetual tasks only: another task may already be done by an earlier run
  // whose end is not known yet. Until that run is lost with its worker.
  bool adopted = false;
  int rescues = 0;  // from slow workers
  TimePoint rescued_at{};
  // Since when no run of the task has been at work, for a perpetual task (dispatch/tasks_away.h).
  std::optional<TimePoint> away_since;
};

struct StepState {
  std::vector<TaskState> tasks;
  int done = 0;     // number of tasks that are done
  int waiting = 0;  // number of tasks that are not done and have no active run
  std::map<std::string, int> runs_by_worker;  // number of active runs of the tasks
  // Workers on which runs failed since a run of the step was last done, and when, as far as that
  // still counts (dispatch/failures.h).
  std::map<std::string, TimePoint> failed_on;
  StepPermits permits;  // used only if the queue requires permits
  int64_t sweep = 0;    // number of the last sweep in which the gang had its turn (GangSweep)
};

// Estimates that rank a job (dispatch/job_rank.h).
struct Estimates {
  double remaining_ms = 0;   // critical path of the tasks that are not done
  double objective_ms = 0;   // target time from acceptance to completion
  bool has_deadline = true;  // false for perpetual and recurring jobs
  // Remaining work for the job's value, in powers of two: estimates are wrong by up to 90%, so
  // finer differences mean nothing. Unset: jobs are ordered by age (dispatch/job_value.h).
  std::optional<int> cost_class;
};

// An active run of a job and its worker, in the table of workers.
struct JobRun {
  const RunId* id = nullptr;
  const RunState* run = nullptr;
  const WorkerState* worker = nullptr;
};

struct JobEntry {
  jobs::Job job;
  jobs::JobState state = jobs::JobState::kPending;
  int64_t finished_ms = 0;  // milliseconds since the Unix epoch
  bool inherited = false;   // accepted before this owner took over
  bool has_gang = false;    // a step is a gang
  bool placeable = false;   // listed by its owner among the jobs with waiting tasks
  int64_t revision = 0;     // store revision of the job's record; 0: precedes this owner
  Estimates estimates;
  TimePoint estimates_valid_until;  // the estimates are computed again after this time
  bool estimates_learned = false;   // the job is in the means of its queue
  // Active runs of all its tasks.
  std::vector<JobRun> runs;
  int tasks_away = 0;  // perpetual tasks that are not at work (dispatch/tasks_away.h)
  // Moving average of the share of time in which a task could start and no run was at work, as
  // confirmed by a worker that answers. Unlike `idle_since` it does not begin anew with each run.
  double unserved_share = 0;
  // Since when a task could start while no run worked for the job, until a worker confirms a run at
  // work or a task is done; unset if that is not so.
  std::optional<TimePoint> idle_since;
  // Steps of the occurrences that are under way, by occurrence. Those that have not begun and those
  // that are done need no state, nor does a finished job: an owner holds little of a schedule that
  // goes on for a month.
  std::map<int, std::vector<StepState>> open;
  int begun = 0;                 // occurrences below this one have begun
  int64_t max_memory_bytes = 0;  // of a job that is not finished; see MaxMemoryBytes()
  // Tasks that are not done and have left a failed run or a checkpoint.
  int64_t recorded = 0;
  // Largest number of such tasks and of runs for which the store can hold the job's progress.
  int64_t max_tasks_under_way = std::numeric_limits<int64_t>::max();
};

// A run of the task becomes active, or ends. Returns false if the task has no such run.
void AddLocation(StepState* step, TaskState* task, const RunLocation& run);
bool RemoveLocation(StepState* step, TaskState* task, const RunLocation& run);

// Number of active runs of the step's tasks on the worker.
int RunsOnWorker(const StepState& step, const std::string& worker);

// True when the progress of the task counts among the recorded ones of its job.
bool HasRecord(const jobs::Job& job, const jobs::TaskId& id, const jobs::TaskProgress& progress);

// False when the store might not hold the job's progress if one more task left something.
bool MayStartTask(const JobEntry& entry, const jobs::TaskId& id, const TaskState& task);

// Begins the occurrences up to this one.
void BeginThrough(JobEntry* entry, int occurrence);

// Begins the occurrences that are due, in their order, as long as few tasks are open. Returns true
// if one has begun.
bool BeginDue(JobEntry* entry, int64_t wall_ms);

// Forgets the state of the occurrence if all its tasks are done.
void CloseIfDone(JobEntry* entry, int occurrence);

// True when tasks wait now or will wait once they are due.
bool HasWaitingTask(const JobEntry& entry);

// Removes the run from the job's active ones.
void ForgetRun(JobEntry* entry, const RunState* run);

JobEntry MakeEntry(jobs::Job job, const jobs::JobProgress& progress, bool inherited);

jobs::JobProgress ProgressOf(const JobEntry& entry);

// Returns null when the job has no such task, or its occurrence is not open.
TaskState* FindTask(JobEntry* entry, const jobs::TaskId& id);
// True when the job has such a step, whether the task's occurrence is open or not.
bool HasStep(const jobs::Job& job, const jobs::TaskId& id);
const jobs::Step& StepOf(const JobEntry& entry, const jobs::TaskId& id);
StepState* StepStateOf(JobEntry* entry, const jobs::TaskId& id);

// True when all steps that `step` depends on are done.
bool IsReady(const JobEntry& entry, int occurrence, int step);

// When the occurrence is due, milliseconds since the Unix epoch.
int64_t DueMs(const jobs::Job& job, int occurrence);

// True when a task that is not done has an active run.
bool HasActiveTask(const JobEntry& entry);

// True when the turn of a task has come that is not done and has no active run.
bool HasReadyTask(const JobEntry& entry, int64_t wall_ms);

// True when all tasks of all occurrences are done.
bool IsComplete(const JobEntry& entry);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_JOB_TABLE_H_
