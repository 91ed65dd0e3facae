// Jobs and tasks of a shard.
#ifndef POMELOPOND_PLANNING_TASK_H_
#define POMELOPOND_PLANNING_TASK_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/json_reader.h"
#include "base/resources.h"
#include "base/time.h"

namespace pomelopond::planning {

enum class JobKind { kService, kBatch, kWatch };

const char* JobKindName(JobKind kind);

// Specification of a job, as an operator or caller submits it. A job has `count` tasks with the
// same needs.
struct JobSpec {
  std::string id;  // chosen by the client; makes acceptance idempotent
  JobKind kind = JobKind::kBatch;
  std::string team;                    // the team whose quota applies
  std::string work_class = "default";  // class whose interference estimates apply
  int64_t rank = 0;                    // priority; higher ranks are placed first
  int64_t count = 1;
  Resources need;       // resources that each task needs
  Duration run_time{};  // declared run time of a task; zero: until the job is cancelled
  int64_t max_attempts = 5;
  int64_t release_version = 0;  // release that contains the job; 0 if a caller submitted it

  friend bool operator==(const JobSpec& a, const JobSpec& b) {
    return std::tie(a.id, a.kind, a.team, a.work_class, a.rank, a.count, a.need, a.run_time,
                    a.max_attempts, a.release_version) ==
           std::tie(b.id, b.kind, b.team, b.work_class, b.rank, b.count, b.need, b.run_time,
                    b.max_attempts, b.release_version);
  }
  friend bool operator!=(const JobSpec& a, const JobSpec& b) { return !(a == b); }
};

Json ToJson(const JobSpec& spec);
JobSpec ReadJobSpec(const Json& document, const std::string& path, FieldErrors* errors);

enum class TaskState {
  kPending,   // accepted, waits to be placed on a host
  kGranted,   // granted to a host, whose worker has not reported it yet
  kRunning,   // the worker reported that it runs
  kStopping,  // occupies its host until the worker confirms the stop or its lease has ended
  kFinished,
  kFailed,  // the attempt limit was reached
  kCancelled,
};

const char* TaskStateName(TaskState state);

// Returns whether a task in this state occupies resources of a host.
inline bool OccupiesHost(TaskState state) {
  return state == TaskState::kGranted || state == TaskState::kRunning ||
         state == TaskState::kStopping;
}

inline bool IsTerminal(TaskState state) {
  return state == TaskState::kFinished || state == TaskState::kFailed ||
         state == TaskState::kCancelled;
}

struct Task {
  std::string id;  // "<job>/<index>"
  std::string job;
  TaskState state = TaskState::kPending;
  std::string host;        // the host that the task occupies; otherwise empty
  int64_t attempt = 0;     // number of the last attempt; each grant increments it
  int64_t checkpoint = 0;  // sequence number of the checkpoint from which to resume
  int64_t failures = 0;    // attempts that failed and count towards the limit
  bool cancelled = false;  // the job was cancelled

  friend bool operator==(const Task& a, const Task& b) {
    return std::tie(a.id, a.job, a.state, a.host, a.attempt, a.checkpoint, a.failures,
                    a.cancelled) ==
           std::tie(b.id, b.job, b.state, b.host, b.attempt, b.checkpoint, b.failures, b.cancelled);
  }
};

// Returns the identifier of the task of `job` with this index.
std::string TaskId(const std::string& job, int64_t index);
// Returns the index in a task identifier made by TaskId.
int32_t TaskIndex(const std::string& task);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_TASK_H_
