// Failure attribution: decides whether a worker or a task is at fault for failed attempts,
// quarantines faulty workers and delays faulty tasks.
#ifndef POMELOPOND_PLANNING_HEALTH_H_
#define POMELOPOND_PLANNING_HEALTH_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace pomelopond::planning {

// Number of failures that shows which side is faulty. A worker is faulty when this many different
// tasks failed on it and on no other worker; a task is faulty when it failed on this many different
// workers. One or two failures are common by chance: with 1% of attempts failing, three in a row
// are one in a million.
inline constexpr size_t kFailureThreshold = 3;
// Failures older than this are not counted.
inline constexpr Duration kFailureWindow = std::chrono::minutes(30);
// Time in quarantine before the first probe. Each failed probe doubles it, up to kMaxQuarantine.
inline constexpr Duration kInitialQuarantine = std::chrono::minutes(1);
inline constexpr Duration kMaxQuarantine = std::chrono::hours(1);
// Delay before the next attempt of a faulty task. Each further failure doubles it, up to
// kMaxBackoff.
inline constexpr Duration kInitialBackoff = std::chrono::seconds(10);
inline constexpr Duration kMaxBackoff = std::chrono::hours(1);

enum class WorkerHealth {
  kHealthy,
  kQuarantined,  // receives no tasks until its quarantine ends
  kProbing,      // may run one task, the probe, whose outcome decides the worker's health
};

const char* WorkerHealthName(WorkerHealth health);

// Failure records of the workers, tasks and jobs of a shard. They are kept in memory only: a new
// owner starts without them, which delays a quarantine but blames no worker or task wrongly.
struct HealthTable {
  struct Worker {
    WorkerHealth health = WorkerHealth::kHealthy;
    // Time of the last failure on this worker, by task.
    std::map<std::string, TimePoint> last_failure;
    TimePoint quarantine_end;   // valid while quarantined
    int64_t failed_probes = 0;  // failed in a row; lengthens the quarantine
    std::string probe;          // the task that runs as the probe; empty if there is none
  };
  // Time of the last failure of one task or job, by worker.
  using LastFailureByWorker = std::map<std::string, TimePoint>;

  std::map<std::string, Worker> workers;
  std::map<std::string, LastFailureByWorker> tasks;
  // By job. All tasks of a job run the same program: when tasks of a job fail on several workers,
  // their failures are no evidence against any of these workers, even where each task failed only
  // once.
  std::map<std::string, LastFailureByWorker> jobs;
};

// Records that an attempt of `task` failed on `worker`. This also ends the quarantine of other
// workers when it shows that the task or its job fails elsewhere too.
void AddFailure(HealthTable* table, const std::string& worker, const std::string& task,
                TimePoint now);

// Records that an attempt of `task` finished on `worker`. A probing worker whose probe this was
// becomes healthy. The failures of a task that failed on some workers and finishes on another
// remain as evidence against those workers, because the task is not faulty.
void AddSuccess(HealthTable* table, const std::string& worker, const std::string& task);

// Records that `task` was granted to `worker`. The task becomes the probe if the worker is probing
// and has none.
void AddGrant(HealthTable* table, const std::string& worker, const std::string& task);

// Records that an attempt ended without an outcome, by a stop or by the end of the lease. If it was
// the probe, another task may become the probe.
void AddStop(HealthTable* table, const std::string& worker, const std::string& task);

// Moves workers whose quarantine has ended to probing and drops failures older than kFailureWindow.
void Advance(HealthTable* table, TimePoint now);

WorkerHealth HealthOf(const HealthTable& table, const std::string& worker);

// Returns whether the worker may be given another task.
bool MayGrant(const HealthTable& table, const std::string& worker);

// Returns whether a failure on this worker counts towards the task's attempt limit. A failure that
// is the worker's fault must not use up the task's attempts.
bool CountsAgainstTask(const HealthTable& table, const std::string& worker);

// Returns whether the task is faulty: it failed on at least kFailureThreshold different workers
// that are healthy.
bool IsBadTask(const HealthTable& table, const std::string& task);

// Returns the workers on which the task failed. Its next attempt should avoid them.
std::vector<std::string> FailedOn(const HealthTable& table, const std::string& task);

// Returns the delay before the next attempt of a task; zero if the task is not faulty. `failures`
// counts all failures of the task. `jitter` in [0, 1) lengthens the delay by up to a half, so that
// tasks that failed together are not retried together.
Duration BackoffOf(const HealthTable& table, const std::string& task, int64_t failures,
                   double jitter);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_HEALTH_H_
