// Durable progress of a job: its state, completed tasks, failed runs and checkpoints.
#ifndef POMELOPOND_JOBS_PROGRESS_H_
#define POMELOPOND_JOBS_PROGRESS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "jobs/job.h"

namespace pomelopond::jobs {

enum class JobState { kPending, kRunning, kCompleted, kFailed, kCancelled };

// "pending", "running", "completed", "failed" or "cancelled".
const char* JobStateName(JobState state);

inline bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

// Progress of one task that has run at least once.
struct TaskProgress {
  bool done = false;
  // Numbers of the failed runs. A worker reports an ended run until it is acknowledged, so a mere
  // count could count one failure twice after a takeover.
  std::vector<int64_t> failed_runs;
  std::string checkpoint;      // latest checkpoint; empty: none
  int64_t checkpoint_run = 0;  // number of the run that wrote the checkpoint

  friend bool operator==(const TaskProgress& a, const TaskProgress& b) {
    return std::tie(a.done, a.failed_runs, a.checkpoint, a.checkpoint_run) ==
           std::tie(b.done, b.failed_runs, b.checkpoint, b.checkpoint_run);
  }
};

// The record grows with the occurrences that are under way and with what tasks leave behind that
// are not done, not with the number of tasks that are done: one large job must not outgrow the
// store's largest value.
struct JobProgress {
  JobState state = JobState::kPending;
  // When the job reached a final state, in milliseconds since the Unix epoch.
  int64_t finished_ms = 0;
  // Occurrences below this one have begun. Those of them that are not open are done.
  int begun = 0;
  std::set<int> open;
  // Tasks of open occurrences by occurrence, step and index. Tasks without recorded progress are
  // absent.
  std::map<std::tuple<int, int, int>, TaskProgress> tasks;

  friend bool operator==(const JobProgress& a, const JobProgress& b) {
    return std::tie(a.state, a.finished_ms, a.begun, a.open, a.tasks) ==
           std::tie(b.state, b.finished_ms, b.begun, b.open, b.tasks);
  }
};

// True when the task is recorded as done.
bool IsDone(const JobProgress& progress, const TaskId& task);

// Stored form in MessagePack. DecodeProgress returns kStoreBadAnswer for malformed input. It also
// reads the form of earlier versions, which lists each task that is done.
std::string Encode(const JobProgress& progress);
Result<JobProgress> DecodeProgress(const std::string& bytes);

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_PROGRESS_H_
