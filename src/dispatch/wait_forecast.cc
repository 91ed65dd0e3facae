#include "dispatch/wait_forecast.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"
#include "dispatch/job_rank.h"
#include "dispatch/job_wait.h"

namespace pomelopond::dispatch {
namespace {

// Time constant of the moving average of started work: some task durations.
constexpr double kRateWindowMs = 3000;
// Weight of one job in the moving average of its queue.
constexpr double kMinQueueWeight = 0.01;
// A service whose unrequested processor time is below this share is short of room. Tasks of several
// cores leave a part of each worker unused.
constexpr double kLittleRoom = 0.2;
// Largest forecast. Waits beyond it make every job useless.
constexpr double kMaxForecastMs = 60000;
// Forecasts are rounded, so that the record does not change with each look.
constexpr int64_t kForecastStepMs = 100;
// A multiple of its objective up to which a late job is useful.
constexpr double kUsefulFactor = 3;
constexpr double kMilli = 1000;
// Work of a small job, as a share of the mean of its queue.
constexpr double kSmallWork = 0.125;

int64_t RoundedMs(double ms) {
  const double steps = std::clamp(ms, 0.0, kMaxForecastMs) / static_cast<double>(kForecastStepMs);
  return std::llround(steps) * kForecastStepMs;
}

// True when the job's turn comes before that of a new small job of its queue. The forecast is that
// of small jobs, because they are still useful after waits that make larger ones useless.
bool IsAhead(const JobEntry& entry, double mean_work_ms) {
  const double small = kSmallWork * mean_work_ms;
  return !entry.estimates.cost_class ||
         *entry.estimates.cost_class <= CostClassOf(small, ValueOf(small, mean_work_ms));
}

// Adds the cores that runs of the job hold.
void AddCoresInUse(const JobEntry& entry, std::map<PriorityKey, double>* cores) {
  if (entry.runs.empty() || jobs::IsPerpetual(entry.job)) return;
  double& of_key = (*cores)[{entry.job.rules.service, entry.job.rules.priority}];
  for (const JobRun& it : entry.runs) {
    of_key += static_cast<double>(StepOf(entry, it.id->task).request.cpu_milli) / kMilli;
  }
}

double WaitMs(double work_ms, double cores) {
  if (work_ms <= 0) return 0;
  return cores <= work_ms / kMaxForecastMs ? kMaxForecastMs : work_ms / cores;
}

}  // namespace

void RecordStartedWork(ForecastState* state, const jobs::QueueRules& rules, double core_ms) {
  state->started[{rules.service, rules.priority}].since_update_ms += core_ms;
}

void RecordQueueJob(ForecastState* state, const JobEntry& entry) {
  if (!entry.estimates.has_deadline) return;
  QueueLoad& queue = state->queues[entry.job.rules.queue];
  queue.key = {entry.job.rules.service, entry.job.rules.priority};
  queue.jobs += 1;
  const double weight = std::max(kMinQueueWeight, 1 / static_cast<double>(queue.jobs));
  const double useless_after =
      std::max(0.0, kUsefulFactor * entry.estimates.objective_ms - entry.estimates.remaining_ms);
  queue.useless_after_ms += weight * (useless_after - queue.useless_after_ms);
}

void AddWaitingWork(const JobEntry& entry, const std::map<std::string, double>& durations,
                    int64_t wall_ms, std::map<PriorityKey, WaitingWork>* waiting) {
  if (!entry.estimates.has_deadline || jobs::IsFinal(entry.state)) return;
  double work = 0;
  for (const auto& [k, steps] : entry.open) {
    for (size_t n = 0; n < steps.size(); ++n) {
      if (steps[n].waiting == 0 || !IsReady(entry, k, static_cast<int>(n))) continue;
      const jobs::Step& step = entry.job.steps[n];
      work += TasksWorkMs(durations, step, steps[n].waiting);
    }
  }
  if (work <= 0) return;
  WaitingWork& out = (*waiting)[{entry.job.rules.service, entry.job.rules.priority}];
  out.all_ms += work;
  const bool on_time = LatenessOf(entry.estimates, entry, wall_ms) == Lateness::kOnTime;
  out.on_time_ms += on_time ? work : 0;
}

std::map<std::string, bool> FindShortage(const std::map<std::string, WorkerState>& workers,
                                         TimePoint now) {
  std::map<std::string, std::pair<double, double>> room;  // free and all processor time
  for (const auto& [id, it] : workers) {
    if (!AcceptsTasks(it, now)) continue;
    auto& [free, all] = room[it.info.service];
    const int64_t unrequested = FreeCapacity(it).cpu_milli - it.best_effort_cpu;
    free += static_cast<double>(std::max<int64_t>(0, unrequested));
    all += static_cast<double>(it.info.capacity.cpu_milli);
  }
  std::map<std::string, bool> out;
  for (const auto& [service, it] : room) out[service] = it.first < kLittleRoom * it.second;
  return out;
}

void UpdateForecast(ForecastState* state, const std::map<std::string, bool>& shortage,
                    TimePoint now) {
  for (const auto& [service, is_short] : shortage) {
    if (is_short) state->short_since.try_emplace(service, now);
    if (!is_short) state->short_since.erase(service);
  }
  const double passed_ms = std::chrono::duration<double, std::milli>(now - state->updated).count();
  if (passed_ms <= 0) return;
  state->updated = now;
  const double weight = 1 - std::exp(-passed_ms / kRateWindowMs);
  for (auto& [key, it] : state->started) {
    it.cores += weight * (it.since_update_ms / passed_ms - it.cores);
    it.since_update_ms = 0;
  }
}

std::map<std::string, QueueForecast> ForecastQueues(
    const ForecastState& state, const std::map<PriorityKey, WaitingWork>& waiting, TimePoint now) {
  std::map<std::string, QueueForecast> out;
  for (const auto& [name, queue] : state.queues) {
    const auto since = state.short_since.find(queue.key.first);
    if (since == state.short_since.end() || now - since->second < kMinShortage) continue;
    const auto work = waiting.find(queue.key);
    if (work == waiting.end()) continue;
    const auto started = state.started.find(queue.key);
    const double cores = started == state.started.end() ? 0 : started->second.cores;
    QueueForecast forecast;
    forecast.wait_ms = RoundedMs(WaitMs(work->second.on_time_ms, cores));
    forecast.useless_after_ms = RoundedMs(queue.useless_after_ms);
    forecast.drain_ms = RoundedMs(WaitMs(work->second.all_ms, cores));
    if (forecast.wait_ms > 0) out[name] = forecast;
  }
  return out;
}

std::map<std::string, QueueForecast> Dispatcher::UpdateForecasts(TimePoint now, int64_t wall_ms) {
  if (!limits_.forecast_waits || !unreconciled_.empty()) return {};
  UpdateForecast(&forecast_, FindShortage(workers_, now), now);
  // What runs of a priority hold now is free for it again when they end. While a few long tasks
  // hold all room, nothing starts, and the average of the started work alone would fall.
  std::map<PriorityKey, double> in_use;
  for (const auto& [id, it] : jobs_) AddCoresInUse(it, &in_use);
  for (const auto& [key, cores] : in_use) {
    forecast_.started[key].cores = std::max(forecast_.started[key].cores, cores);
  }
  std::map<PriorityKey, WaitingWork> ahead;
  std::map<PriorityKey, WaitingWork> behind;
  for (const JobEntry* it : placeable_) {
    const double mean_work_ms = MeanWork(work_, it->job.rules.queue);
    AddWaitingWork(*it, durations_, wall_ms, IsAhead(*it, mean_work_ms) ? &ahead : &behind);
  }
  for (const auto& [key, work] : behind) ahead[key].all_ms += work.all_ms;
  return ForecastQueues(forecast_, ahead, now);
}

}  // namespace pomelopond::dispatch
