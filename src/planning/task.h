// Jobs and tasks as a shard keeps them.
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

// What an operator or caller asks for. A job has `count` tasks of the same shape.
struct JobSpec {
  std::string id;  // given by the client; makes acceptance idempotent
  JobKind kind = JobKind::kBatch;
  std::string team;
  std::string work_class = "default";  // names the interference profile
  int64_t rank = 0;                    // higher goes first
  int64_t count = 1;
  Resources need;       // of one task
  Duration run_time{};  // declared; zero: runs until it is cancelled
  int64_t max_attempts = 5;
  int64_t release_version = 0;  // of the release that asked for it; 0: a caller did

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
  kPending,   // accepted, waits for a place
  kGranted,   // counted on a host; the worker has not reported it yet
  kRunning,   // reported by the worker
  kStopping,  // counted on a host until the worker confirms the stop or its lease has ended
  kFinished,
  kFailed,  // attempt limit reached
  kCancelled,
};

const char* TaskStateName(TaskState state);

// True while the task is counted on a host.
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
  std::string host;        // set while the task occupies one
  int64_t attempt = 0;     // grows with every grant
  int64_t checkpoint = 0;  // sequence to resume from
  int64_t failures = 0;
  bool cancelled = false;

  friend bool operator==(const Task& a, const Task& b) {
    return std::tie(a.id, a.job, a.state, a.host, a.attempt, a.checkpoint, a.failures,
                    a.cancelled) ==
           std::tie(b.id, b.job, b.state, b.host, b.attempt, b.checkpoint, b.failures, b.cancelled);
  }
};

std::string TaskId(const std::string& job, int64_t index);
// The index in an identifier made by TaskId.
int32_t TaskIndex(const std::string& task);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_TASK_H_
