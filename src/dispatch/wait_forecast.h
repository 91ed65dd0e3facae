// Forecast by queue: how long a new job would wait for room. Hosts refuse jobs by it.
#ifndef POMELOPOND_DISPATCH_WAIT_FORECAST_H_
#define POMELOPOND_DISPATCH_WAIT_FORECAST_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "dispatch/job_table.h"
#include "dispatch/waiting_counts.h"

namespace pomelopond::dispatch {

// Jobs of one service and priority compete for the same room.
using PriorityKey = std::pair<std::string, int>;

// Work that has got room: what was started since the last update, and its moving average.
struct StartedWork {
  double since_update_ms = 0;  // ms of one core
  double cores = 0;            // moving average of the work started in a unit of time
};

// Work that waits for room although its turn has come, in ms of one core.
struct WaitingWork {
  double on_time_ms = 0;  // of jobs that can still be on time: a new job may come after them
  double all_ms = 0;
};

struct QueueLoad {
  PriorityKey key;
  int64_t jobs = 0;  // number of jobs seen
  // Moving average of the wait after which a job can't complete within three times its objective.
  double useless_after_ms = 0;
};

struct ForecastState {
  std::map<PriorityKey, StartedWork> started;
  std::map<std::string, QueueLoad> queues;
  // Since when the services have had little free room, without an interruption.
  std::map<std::string, TimePoint> short_since;
  TimePoint updated;
};

// Records a run that was started, with its expected work.
void RecordStartedWork(ForecastState* state, const jobs::QueueRules& rules, double core_ms);

// Records a job that this owner sees for the first time, with its estimates.
void RecordQueueJob(ForecastState* state, const JobEntry& entry);

// Expected work of the job's tasks that wait for room, and whether it can be on time.
void AddWaitingWork(const JobEntry& entry, const std::map<std::string, double>& durations,
                    int64_t wall_ms, std::map<PriorityKey, WaitingWork>* waiting);

// Services of which the workers that accept tasks have little room left.
std::map<std::string, bool> FindShortage(const std::map<std::string, WorkerState>& workers,
                                         TimePoint now);

// Updates the averages.
void UpdateForecast(ForecastState* state, const std::map<std::string, bool>& shortage,
                    TimePoint now);

// Forecasts of the queues whose jobs wait, and have waited for kMinShortage. The wait is the work
// ahead of a new job divided by the rate at which jobs of its priority have got room. While more
// urgent jobs take all room, the rate falls and the wait grows.
inline constexpr Duration kMinShortage = std::chrono::seconds(1);
std::map<std::string, QueueForecast> ForecastQueues(
    const ForecastState& state, const std::map<PriorityKey, WaitingWork>& waiting, TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WAIT_FORECAST_H_
