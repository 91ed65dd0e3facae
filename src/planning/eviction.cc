#include "planning/eviction.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

// Work that every eviction loses besides the work since the checkpoint: stop, transfer, start.
constexpr Duration kEvictionCost = std::chrono::seconds(10);
// A task that contributes less than this to the slowdown is no use as a victim.
constexpr double kLeastRelief = 0.005;

double ReliefOf(const InterferenceTable& table, const std::string& service_class,
                const BatchTask& task) {
  return task.cores * SlowdownPerCore(table, service_class, task.work_class);
}

// Index of the task not throttled yet whose throttling relieves most, or -1.
int ChooseThrottle(const InterferenceTable& table, const std::string& service_class,
                   const std::vector<BatchTask>& tasks) {
  int best = -1;
  double best_relief = kLeastRelief;
  for (size_t n = 0; n < tasks.size(); ++n) {
    if (tasks[n].throttled) continue;
    const double relief = ReliefOf(table, service_class, tasks[n]);
    if (relief <= best_relief) continue;
    best = static_cast<int>(n);
    best_relief = relief;
  }
  return best;
}

// Index of the throttled task that may run freely again at the least slowdown, or -1.
int ChooseRelease(const EvictionSettings& settings, const InterferenceTable& table,
                  const std::string& service_class, double slowdown,
                  const std::vector<BatchTask>& tasks) {
  int best = -1;
  double best_slowdown = 0;
  for (size_t n = 0; n < tasks.size(); ++n) {
    if (!tasks[n].throttled) continue;
    const double added = ReliefOf(table, service_class, tasks[n]) * (1 / settings.throttle - 1);
    // Releasing it would lead back above the mark at which relief ends.
    if (1 + slowdown + added >= settings.low) continue;
    if (best >= 0 && added >= best_slowdown) continue;
    best = static_cast<int>(n);
    best_slowdown = added;
  }
  return best;
}

// Waits longer where evictions weigh more than tail latency.
int64_t PatienceOf(const EvictionSettings& settings) {
  const double ratio = settings.weights.evictions / std::max(settings.weights.tail_latency, 0.01);
  return std::max<int64_t>(
      1, static_cast<int64_t>(static_cast<double>(settings.patience) * std::min(ratio, 4.0)));
}

}  // namespace

const char* ReliefActionName(ReliefAction action) {
  switch (action) {
    case ReliefAction::kNone:
      return "none";
    case ReliefAction::kThrottle:
      return "throttle";
    case ReliefAction::kEvict:
      return "evict";
    case ReliefAction::kRelease:
      return "release";
  }
  return "none";
}

EvictionBudget MakeEvictionBudget(const EvictionSettings& settings, TimePoint now) {
  return {settings.eviction_burst, now};
}

bool TakeEviction(EvictionBudget* budget, const EvictionSettings& settings, TimePoint now) {
  const double minutes =
      std::chrono::duration<double, std::ratio<60>>(now - budget->updated).count();
  budget->tokens =
      std::min(settings.eviction_burst,
               budget->tokens + std::max(0.0, minutes) * settings.evictions_per_minute);
  budget->updated = std::max(budget->updated, now);
  if (budget->tokens < 1) return false;
  budget->tokens -= 1;
  return true;
}

int ChooseVictim(const InterferenceTable& table, const std::string& service_class,
                 const std::vector<BatchTask>& tasks) {
  int best = -1;
  double best_cost = 0;
  for (size_t n = 0; n < tasks.size(); ++n) {
    const BatchTask& it = tasks[n];
    const double relief = ReliefOf(table, service_class, it);
    if (relief < kLeastRelief) continue;
    const double lost = std::chrono::duration<double>(it.unsaved + kEvictionCost).count();
    const double cost = lost * it.cores / relief;
    if (best >= 0) {
      if (it.rank > tasks[best].rank) continue;
      if (it.rank == tasks[best].rank && cost >= best_cost) continue;
    }
    best = static_cast<int>(n);
    best_cost = cost;
  }
  return best;
}

Relief DecideRelief(const EvictionSettings& settings, const InterferenceTable& table,
                    const std::string& service_class, double slowdown,
                    const std::vector<BatchTask>& tasks, TimePoint now, PressureState* pressure,
                    EvictionBudget* budget) {
  const double latency = 1 + slowdown;
  pressure->above = latency > settings.high ? pressure->above + 1 : 0;
  if (pressure->above >= settings.patience) pressure->relieving = true;
  if (latency < settings.low) pressure->relieving = false;
  if (now < pressure->next_step) return {};
  int chosen = -1;
  ReliefAction action = ReliefAction::kNone;
  if (pressure->relieving) {
    action = ReliefAction::kThrottle;
    chosen = ChooseThrottle(table, service_class, tasks);
    // Between the marks throttled tasks stay as they are; only above the high mark one has to go.
    if (chosen < 0 && pressure->above >= PatienceOf(settings)) {
      action = ReliefAction::kEvict;
      chosen = ChooseVictim(table, service_class, tasks);
      if (chosen >= 0 && !TakeEviction(budget, settings, now)) return {};
    }
  } else if (latency < settings.low) {
    action = ReliefAction::kRelease;
    chosen = ChooseRelease(settings, table, service_class, slowdown, tasks);
  }
  if (chosen < 0) return {};
  pressure->next_step = now + settings.step_wait;
  pressure->above = 0;
  return {action, tasks[chosen].id};
}

}  // namespace pomelopond::planning
