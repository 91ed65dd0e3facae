#include "routing/ejection.h"

#include <algorithm>
#include <cmath>

#include "routing/target_choice.h"

namespace pomelopond::routing {
namespace {

// Consecutive failures that make a target a candidate for ejection. A target that fails one request
// in four at random reaches this number about once in 1000 requests.
constexpr int64_t kMaxConsecutiveFailures = 5;

// A failing target is ejected only when its failure rate exceeds twice the median rate plus this
// margin, because using fewer targets does not cure a fault that affects all of them. With 30% of
// attempts failing at all targets for 12 s, a limit on consecutive failures alone ejected 42
// targets, and a bound of twice the mean failure rate ejected 19.
constexpr double kFailureRateMargin = 0.2;

// Weight of the newest result in the failure rate.
constexpr double kFailureRateWeight = 0.1;

// A target whose latency exceeds the median by more than this factor is ejected. Slow targets below
// this bound are still used when the queue is long (see ChooseTarget).
constexpr double kSlowFactor = 5;

// A target with fewer answers is not ejected as slow.
constexpr int64_t kMinSamples = 10;

// Successful requests in a row that end the probation of a target.
constexpr int64_t kMinProbeSuccesses = 3;

// Duration of the first ejection; each further ejection lasts twice as long, up to
// kMaxEjectionTime. A target that stays healthy for kMaxEjectionTime starts again at the first
// duration.
constexpr Duration kBaseEjectionTime = std::chrono::seconds(5);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(60);

bool IsTooSlow(const Target& target, Duration median) {
  return target.samples >= kMinSamples && static_cast<double>(target.latency.count()) >
                                              kSlowFactor * static_cast<double>(median.count());
}

// Returns the median failure rate of the targets in use.
double MedianFailureRate(const std::vector<Target>& targets) {
  std::vector<double> failure_rates;
  for (const Target& it : targets) {
    if (!it.leaving && it.health.state == HealthState::kHealthy)
      failure_rates.push_back(it.health.failure_rate);
  }
  if (failure_rates.empty()) return 0;
  const auto middle =
      failure_rates.begin() + static_cast<std::ptrdiff_t>((failure_rates.size() - 1) / 2);
  std::nth_element(failure_rates.begin(), middle, failure_rates.end());
  return *middle;
}

// Ejects a target for a time that doubles with every ejection.
void Eject(Target* target, TimePoint now) {
  TargetHealth& health = target->health;
  Duration time = kBaseEjectionTime;
  for (int64_t n = 0; n < health.ejections && time < kMaxEjectionTime; ++n) time *= 2;
  health.state = HealthState::kEjected;
  health.until = now + std::min(time, kMaxEjectionTime);
  health.ejections += 1;
  health.consecutive_failures = 0;
  health.probe_successes = 0;
}

}  // namespace

void RecordResult(Target* target, bool failed, TimePoint now) {
  TargetHealth& health = target->health;
  health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
  health.failure_rate += kFailureRateWeight * ((failed ? 1 : 0) - health.failure_rate);
  if (health.state != HealthState::kProbation) return;
  if (failed) {
    Eject(target, now);
    return;
  }
  health.probe_successes += 1;
  if (health.probe_successes < kMinProbeSuccesses) return;
  // Keeps the latency measured by the probes. UpdateEjection() resets `ejections` to 0 later.
  health.state = HealthState::kHealthy;
  health.failure_rate = 0;
  health.until = now;
}

int UpdateEjection(std::vector<Target>* targets, TimePoint now) {
  const Duration median = MedianLatency(*targets);
  const double median_failure_rate = MedianFailureRate(*targets);
  std::vector<Target*> candidates;
  int64_t present = 0;
  int64_t unavailable = 0;
  for (Target& it : *targets) {
    TargetHealth& health = it.health;
    if (it.leaving) continue;
    present += 1;
    if (health.state == HealthState::kEjected && now >= health.until) {
      health.state = HealthState::kProbation;
      health.probe_successes = 0;
      // Discards the earlier answers, so that the probes alone decide whether the target is slow.
      it.samples = 0;
    }
    if (health.state != HealthState::kHealthy) {
      unavailable += 1;
      continue;
    }
    if (health.ejections > 0 && now - health.until >= kMaxEjectionTime) health.ejections = 0;
    const bool fails = health.consecutive_failures >= kMaxConsecutiveFailures &&
                       health.failure_rate > 2 * median_failure_rate + kFailureRateMargin;
    if (fails || IsTooSlow(it, median)) candidates.push_back(&it);
  }
  std::sort(candidates.begin(), candidates.end(), [](const Target* a, const Target* b) {
    return std::tie(a->health.consecutive_failures, a->latency) >
           std::tie(b->health.consecutive_failures, b->latency);
  });
  const auto limit =
      static_cast<int64_t>(std::floor(kMaxEjectedFraction * static_cast<double>(present)));
  // When targets have left, more than the allowed fraction may be unavailable. Returns targets to
  // use early then, because their capacity matters more than avoiding their faults.
  for (Target& it : *targets) {
    if (unavailable <= limit) break;
    if (it.leaving || it.health.state == HealthState::kHealthy) continue;
    it.health.state = HealthState::kHealthy;
    it.health.failure_rate = 0;
    it.health.until = now;
    unavailable -= 1;
  }
  int ejected = 0;
  for (Target* it : candidates) {
    if (unavailable >= limit) break;
    Eject(it, now);
    unavailable += 1;
    ejected += 1;
  }
  return ejected;
}

}  // namespace pomelopond::routing
