// Which of workers and tasks is to blame for failures, and what follows for each.
#ifndef POMELOPOND_PLANNING_HEALTH_H_
#define POMELOPOND_PLANNING_HEALTH_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace pomelopond::planning {

// Failures of this many different tasks, none of which failed elsewhere, show a bad worker; a task
// that failed on this many different workers is bad itself. One or two are common by chance: with
// 1% of attempts failing, three in a row are one in a million.
inline constexpr size_t kFailureThreshold = 3;
// Older failures do not count.
inline constexpr Duration kFailureWindow = std::chrono::minutes(30);
// A worker rests this long before its first probe; the time doubles with each failed probe.
inline constexpr Duration kInitialQuarantine = std::chrono::minutes(1);
inline constexpr Duration kMaxQuarantine = std::chrono::hours(1);
// Wait of a bad task before its next attempt; doubles with each failure.
inline constexpr Duration kInitialBackoff = std::chrono::seconds(10);
inline constexpr Duration kMaxBackoff = std::chrono::hours(1);

enum class WorkerHealth {
  kHealthy,
  kQuarantined,  // gets nothing until its rest is over
  kProbing,      // may run one task, whose outcome decides
};

const char* WorkerHealthName(WorkerHealth health);

// Volatile: a new owner starts without evidence, which delays a quarantine but blames nobody.
struct HealthTable {
  struct Worker {
    WorkerHealth health = WorkerHealth::kHealthy;
    std::map<std::string, TimePoint> last_failure;  // tasks and when they last failed here
    TimePoint quarantine_end;
    int64_t failed_probes = 0;
    std::string probe;  // task that runs as the probe
  };
  using LastFailureByWorker =
      std::map<std::string, TimePoint>;  // workers and the time of the last failure

  std::map<std::string, Worker> workers;
  std::map<std::string, LastFailureByWorker> tasks;
  // All tasks of a job run the same program: when tasks of it fail on several workers, their
  // failures are no evidence against any of them, even where each task failed only once.
  std::map<std::string, LastFailureByWorker> jobs;
};

// An attempt of `task` failed on `worker`. May also clear other workers, when it turns out that the
// task or its job fails elsewhere too.
void AddFailure(HealthTable* table, const std::string& worker, const std::string& task,
                TimePoint now);

// An attempt of `task` finished on `worker`. This clears a probing worker. A task that failed on
// some workers and finishes on another is not bad, so its failures stay as evidence against those.
void AddSuccess(HealthTable* table, const std::string& worker, const std::string& task);

// A task was granted to the worker; it becomes the probe of a probing worker.
void AddGrant(HealthTable* table, const std::string& worker, const std::string& task);

// An attempt ended without an outcome, by a stop or the end of the lease.
void AddStop(HealthTable* table, const std::string& worker, const std::string& task);

// Moves workers whose rest is over to probing and drops old evidence.
void Advance(HealthTable* table, TimePoint now);

WorkerHealth HealthOf(const HealthTable& table, const std::string& worker);

// True when the worker may be given another task.
bool MayGrant(const HealthTable& table, const std::string& worker);

// False when the worker is to blame for a failure there, which must not use up the task's attempts.
bool CountsAgainstTask(const HealthTable& table, const std::string& worker);

// True when the task failed on at least kFailureThreshold different workers that are not bad.
bool IsBadTask(const HealthTable& table, const std::string& task);

// Workers where the task failed, which its next attempt should avoid.
std::vector<std::string> FailedOn(const HealthTable& table, const std::string& task);

// Wait before the next attempt of a task; zero for one that is not bad. `failures` counts all its
// failures. `draw` in [0, 1) spreads the wait by up to a half, so that tasks that failed together
// are not tried together again.
Duration BackoffOf(const HealthTable& table, const std::string& task, int64_t failures,
                   double jitter);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_HEALTH_H_
