// The durable progress of a job: which tasks are done, failed runs and checkpoints.
#ifndef POMELOPOND_JOBS_PROGRESS_H_
#define POMELOPOND_JOBS_PROGRESS_H_

#include <cstdint>
#include <map>
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
  // Numbers of the runs that failed. A worker lists an end again until it is acknowledged, so a
  // count alone could count one failure twice after a takeover.
  std::vector<int64_t> failed_runs;
  std::string checkpoint;  // empty: none
  int64_t checkpoint_run = 0;

  friend bool operator==(const TaskProgress& a, const TaskProgress& b) {
    return std::tie(a.done, a.failed_runs, a.checkpoint, a.checkpoint_run) ==
           std::tie(b.done, b.failed_runs, b.checkpoint, b.checkpoint_run);
  }
};

struct JobProgress {
  JobState state = JobState::kPending;
  int64_t finished_ms = 0;  // when a final state was reached, milliseconds since the Unix epoch
  // By occurrence, step and index; tasks that never ended are absent.
  std::map<std::tuple<int, int, int>, TaskProgress> tasks;

  friend bool operator==(const JobProgress& a, const JobProgress& b) {
    return std::tie(a.state, a.finished_ms, a.tasks) == std::tie(b.state, b.finished_ms, b.tasks);
  }
};

// The stored form, as MessagePack. Decode fails with kStoreBadAnswer.
std::string Encode(const JobProgress& progress);
Result<JobProgress> DecodeProgress(const std::string& bytes);

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_PROGRESS_H_
