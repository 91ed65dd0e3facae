// Mitigation of services that batch work slows down: throttling first, then eviction.
#ifndef POMELOPOND_PLANNING_EVICTION_H_
#define POMELOPOND_PLANNING_EVICTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "planning/interference.h"

namespace pomelopond::planning {

struct EvictionSettings {
  // A service above `high` times its latency without batch work asks for relief until it is below
  // `low`. The distance between the two is above the noise of the measurement (about 10%).
  double high_watermark = 1.5;
  double low_watermark = 1.2;
  // Measurements in a row above `high` before anything happens; one may be noise.
  int64_t trigger_count = 3;
  // Wait after each step, so that the next is decided from a measurement of its effect.
  Duration cooldown = std::chrono::seconds(20);
  double throttle_factor = 0.5;  // factor on the cores of a throttled task
  // Evictions a minute in the shard, and the most that may have been saved up.
  double evictions_per_minute = 2;
  double eviction_burst = 4;
  OutcomeWeights weights;
};

// Tokens for evictions, one for each.
struct EvictionBudget {
  double tokens = 0;
  TimePoint updated;
};

EvictionBudget MakeEvictionBudget(const EvictionSettings& settings, TimePoint now);
// Takes one token; false when there is none.
bool ConsumeEvictionToken(EvictionBudget* budget, const EvictionSettings& settings, TimePoint now);

// What a service on a host has been through; one for each pair of host and service class.
struct MitigationState {
  int64_t consecutive_high = 0;  // measurements in a row above the high mark
  bool mitigating = false;       // between the high and the low mark
  TimePoint next_action_time;
};

struct BatchTask {
  std::string id;
  std::string work_class;
  double cores = 0;  // as it runs now, throttling included
  bool throttled = false;
  Duration work_since_checkpoint{};  // work since its last checkpoint
  int64_t rank = 0;
};

enum class MitigationAction { kNone, kThrottle, kEvict, kUnthrottle };

const char* MitigationActionName(MitigationAction action);

struct Mitigation {
  MitigationAction action = MitigationAction::kNone;
  std::string task;
};

// The next step for one service after a measurement. `slowdown` is latency over that without batch
// work, minus 1. Throttles the task whose throttling relieves most, and evicts only when all that
// contribute are throttled, when the wait is over and when the budget allows it; below the low mark
// throttled tasks are released one at a time.
Mitigation DecideMitigation(const EvictionSettings& settings, const InterferenceTable& table,
                            const std::string& service_class, double slowdown,
                            const std::vector<BatchTask>& tasks, TimePoint now,
                            MitigationState* state, EvictionBudget* budget);

// Index of the task with the least lost work per unit of relief, lowest rank first, or -1.
int ChooseVictim(const InterferenceTable& table, const std::string& service_class,
                 const std::vector<BatchTask>& tasks);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_EVICTION_H_
