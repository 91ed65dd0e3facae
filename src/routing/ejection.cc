#include "routing/ejection.h"

#include <algorithm>
#include <cmath>

#include "routing/target_choice.h"

namespace pomelopond::routing {
namespace {

// Failures in a row; a target that fails one request in four at random reaches this about once in
// 1000 requests.
constexpr int64_t kMaxConsecutiveFailures = 5;

// A failing target is ejected only when its share of failures is above twice the median plus this:
// a fault that concerns all targets is not cured by using fewer of them. With 30% of attempts
// failing everywhere for 12 s, failures in a row alone ejected 42 targets, twice the mean 19.
constexpr double kFailureRateMargin = 0.2;
constexpr double kFailureRateWeight = 0.1;

// A target this much slower than the median is ejected. Slow targets below it stay in use when the
// queue is long (see ChooseTarget).
constexpr double kSlowFactor = 5;
constexpr int64_t kMinSamples = 10;

constexpr int64_t kMinProbeSuccesses = 3;
constexpr Duration kBaseEjectionTime = std::chrono::seconds(5);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(60);

bool IsTooSlow(const Target& target, Duration median) {
  return target.samples >= kMinSamples && static_cast<double>(target.latency.count()) >
                                              kSlowFactor * static_cast<double>(median.count());
}

// Median share of failures of the targets in use.
double MedianFailureRate(const std::vector<Target>& targets) {
  std::vector<double> failure_rate;
  for (const Target& it : targets) {
    if (!it.leaving && it.health.state == HealthState::kHealthy)
      failure_rate.push_back(it.health.failure_rate);
  }
  if (failure_rate.empty()) return 0;
  const auto middle =
      failure_rate.begin() + static_cast<std::ptrdiff_t>((failure_rate.size() - 1) / 2);
  std::nth_element(failure_rate.begin(), middle, failure_rate.end());
  return *middle;
}

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
  // The latency of the probes is kept; `ejections` goes back to 0 by UpdateEjection.
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
      // The probes alone decide whether it is still slow.
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
  // Others have left: the rest is needed more than its faults are avoided.
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
