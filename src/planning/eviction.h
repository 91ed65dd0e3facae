// Mitigation of the interference of batch tasks with services on the same host: throttles batch
// tasks first and evicts them if that is not enough.
#ifndef POMELOPOND_PLANNING_EVICTION_H_
#define POMELOPOND_PLANNING_EVICTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "planning/interference.h"

namespace pomelopond::planning {

struct EvictionSettings {
  // Mitigation starts when the latency of a service rises above `high_watermark` times its latency
  // without batch work, and ends when it falls below `low_watermark` times that latency. The
  // distance between the two is larger than the noise of the measurement (about 10%).
  double high_watermark = 1.5;
  double low_watermark = 1.2;
  // Number of consecutive measurements above `high_watermark` that start mitigation. A single one
  // may be noise.
  int64_t trigger_count = 3;
  // Minimum time between two actions for a service, so that the next action is decided from a
  // measurement that shows the effect of the last one.
  Duration cooldown = std::chrono::seconds(20);
  double throttle_factor = 0.5;  // factor applied to the cores of a throttled task
  // Token bucket for evictions, shared by all hosts of the shard: tokens added per minute, and its
  // capacity.
  double evictions_per_minute = 2;
  double eviction_burst = 4;
  OutcomeWeights weights;  // objective weights of the policy in force
};

// Token bucket of the shard. Each eviction takes one token.
struct EvictionBudget {
  double tokens = 0;
  TimePoint updated;
};

EvictionBudget MakeEvictionBudget(const EvictionSettings& settings, TimePoint now);
// Takes one token. Returns false if there is none.
bool ConsumeEvictionToken(EvictionBudget* budget, const EvictionSettings& settings, TimePoint now);

// Mitigation state of one service class on one host.
struct MitigationState {
  int64_t consecutive_high = 0;  // consecutive measurements above the high watermark
  // Set by `trigger_count` consecutive measurements above the high watermark, cleared by one below
  // the low watermark.
  bool mitigating = false;
  TimePoint next_action_time;  // no action is taken before this
};

// A batch task that runs on the same host as the service.
struct BatchTask {
  std::string id;
  std::string work_class;
  double cores = 0;  // cores in use now, with throttling applied
  bool throttled = false;
  Duration work_since_checkpoint{};  // work done since the last checkpoint; lost by an eviction
  int64_t rank = 0;                  // priority; lower ranks are evicted first
};

enum class MitigationAction { kNone, kThrottle, kEvict, kUnthrottle };

const char* MitigationActionName(MitigationAction action);

// An action and the task that it applies to.
struct Mitigation {
  MitigationAction action = MitigationAction::kNone;
  std::string task;
};

// Decides the next action for one service after a measurement. `slowdown` is the measured latency
// divided by the latency without batch work, minus 1. During mitigation, throttles the task whose
// throttling reduces the slowdown most. Evicts a task only when all tasks that contribute to the
// slowdown are throttled, the cooldown is over and the budget has a token. Below the low watermark,
// unthrottles throttled tasks one at a time.
Mitigation DecideMitigation(const EvictionSettings& settings, const InterferenceTable& table,
                            const std::string& service_class, double slowdown,
                            const std::vector<BatchTask>& tasks, TimePoint now,
                            MitigationState* state, EvictionBudget* budget);

// Returns the index of the task whose eviction loses the least work per unit of slowdown removed,
// among those of the lowest rank, or -1 if no task contributes.
int ChooseVictim(const InterferenceTable& table, const std::string& service_class,
                 const std::vector<BatchTask>& tasks);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_EVICTION_H_
