#include "planning/eviction.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

// Work that each eviction loses in addition to the work since the last checkpoint: stopping the
// task, transferring its checkpoint and starting it elsewhere.
constexpr Duration kEvictionCost = std::chrono::seconds(10);
// Evicting or throttling a task that adds less than this to the slowdown has no useful effect.
constexpr double kMinContribution = 0.005;

double SlowdownContribution(const InterferenceTable& table, const std::string& service_class,
                            const BatchTask& task) {
  return task.cores * SlowdownPerCore(table, service_class, task.work_class);
}

// Returns the index of the unthrottled task whose throttling reduces the slowdown most, or -1.
int ChooseTaskToThrottle(const InterferenceTable& table, const std::string& service_class,
                         const std::vector<BatchTask>& tasks) {
  int best = -1;
  double best_contribution = kMinContribution;
  for (size_t n = 0; n < tasks.size(); ++n) {
    if (tasks[n].throttled) continue;
    const double contribution = SlowdownContribution(table, service_class, tasks[n]);
    if (contribution <= best_contribution) continue;
    best = static_cast<int>(n);
    best_contribution = contribution;
  }
  return best;
}

// Returns the index of the throttled task whose unthrottling adds the least slowdown, or -1.
int ChooseTaskToUnthrottle(const EvictionSettings& settings, const InterferenceTable& table,
                           const std::string& service_class, double slowdown,
                           const std::vector<BatchTask>& tasks) {
  int best = -1;
  double best_slowdown = 0;
  for (size_t n = 0; n < tasks.size(); ++n) {
    if (!tasks[n].throttled) continue;
    const double added =
        SlowdownContribution(table, service_class, tasks[n]) * (1 / settings.throttle_factor - 1);
    // Unthrottling this task would raise the latency back to the low watermark, below which
    // mitigation ends.
    if (1 + slowdown + added >= settings.low_watermark) continue;
    if (best >= 0 && added >= best_slowdown) continue;
    best = static_cast<int>(n);
    best_slowdown = added;
  }
  return best;
}

// Returns the number of consecutive high measurements before an eviction. It grows with the weight
// of evictions relative to the weight of tail latency, up to 4 times the trigger count.
int64_t EvictionTriggerCount(const EvictionSettings& settings) {
  const double ratio = settings.weights.evictions / std::max(settings.weights.tail_latency, 0.01);
  return std::max<int64_t>(
      1, static_cast<int64_t>(static_cast<double>(settings.trigger_count) * std::min(ratio, 4.0)));
}

}  // namespace

const char* MitigationActionName(MitigationAction action) {
  switch (action) {
    case MitigationAction::kNone:
      return "none";
    case MitigationAction::kThrottle:
      return "throttle";
    case MitigationAction::kEvict:
      return "evict";
    case MitigationAction::kUnthrottle:
      return "release";
  }
  return "none";
}

EvictionBudget MakeEvictionBudget(const EvictionSettings& settings, TimePoint now) {
  return {settings.eviction_burst, now};
}

bool ConsumeEvictionToken(EvictionBudget* budget, const EvictionSettings& settings, TimePoint now) {
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
    const double contribution = SlowdownContribution(table, service_class, it);
    if (contribution < kMinContribution) continue;
    const double lost_seconds =
        std::chrono::duration<double>(it.work_since_checkpoint + kEvictionCost).count();
    const double cost = lost_seconds * it.cores / contribution;
    if (best >= 0) {
      if (it.rank > tasks[best].rank) continue;
      if (it.rank == tasks[best].rank && cost >= best_cost) continue;
    }
    best = static_cast<int>(n);
    best_cost = cost;
  }
  return best;
}

Mitigation DecideMitigation(const EvictionSettings& settings, const InterferenceTable& table,
                            const std::string& service_class, double slowdown,
                            const std::vector<BatchTask>& tasks, TimePoint now,
                            MitigationState* state, EvictionBudget* budget) {
  const double latency = 1 + slowdown;
  state->consecutive_high = latency > settings.high_watermark ? state->consecutive_high + 1 : 0;
  if (state->consecutive_high >= settings.trigger_count) state->mitigating = true;
  if (latency < settings.low_watermark) state->mitigating = false;
  if (now < state->next_action_time) return {};
  int chosen = -1;
  MitigationAction action = MitigationAction::kNone;
  if (state->mitigating) {
    action = MitigationAction::kThrottle;
    chosen = ChooseTaskToThrottle(table, service_class, tasks);
    // Between the watermarks throttled tasks stay throttled. A task is evicted only above the high
    // watermark.
    if (chosen < 0 && state->consecutive_high >= EvictionTriggerCount(settings)) {
      action = MitigationAction::kEvict;
      chosen = ChooseVictim(table, service_class, tasks);
      if (chosen >= 0 && !ConsumeEvictionToken(budget, settings, now)) return {};
    }
  } else if (latency < settings.low_watermark) {
    action = MitigationAction::kUnthrottle;
    chosen = ChooseTaskToUnthrottle(settings, table, service_class, slowdown, tasks);
  }
  if (chosen < 0) return {};
  state->next_action_time = now + settings.cooldown;
  state->consecutive_high = 0;
  return {action, tasks[chosen].id};
}

}  // namespace pomelopond::planning
