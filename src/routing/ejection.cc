#include "routing/ejection.h"

#include <algorithm>
#include <cmath>

#include "routing/target_choice.h"

namespace pomelopond::routing {
namespace {

// Failures in a row; a target that fails one request in four at random reaches this about once in
// 1000 requests.
constexpr int64_t kMaxFailures = 5;

// A failing target is ejected only when its share of failures is above twice the median plus this:
// a fault that concerns all targets is not cured by using fewer of them. With 30% of attempts
// failing everywhere for 12 s, failures in a row alone ejected 42 targets, twice the mean 19.
constexpr double kFailedMargin = 0.2;
constexpr double kFailedWeight = 0.1;

// A target this much slower than the median is ejected. Slow targets below it stay in use when the
// queue is long (see ChooseTarget).
constexpr double kSlowFactor = 5;
constexpr int64_t kMinSamples = 10;

constexpr int64_t kProbesToReturn = 3;
constexpr Duration kFirstEjection = std::chrono::seconds(5);
constexpr Duration kLongestEjection = std::chrono::seconds(60);

bool IsTooSlow(const Target& target, Duration median) {
  return target.samples >= kMinSamples && static_cast<double>(target.latency.count()) >
                                              kSlowFactor * static_cast<double>(median.count());
}

// Median share of failures of the targets in use.
double MedianFailed(const std::vector<Target>& targets) {
  std::vector<double> failed;
  for (const Target& it : targets) {
    if (!it.leaving && it.health.state == HealthState::kHealthy) failed.push_back(it.health.failed);
  }
  if (failed.empty()) return 0;
  const auto middle = failed.begin() + static_cast<std::ptrdiff_t>((failed.size() - 1) / 2);
  std::nth_element(failed.begin(), middle, failed.end());
  return *middle;
}

void Eject(Target* target, TimePoint now) {
  TargetHealth& health = target->health;
  Duration time = kFirstEjection;
  for (int64_t n = 0; n < health.ejections && time < kLongestEjection; ++n) time *= 2;
  health.state = HealthState::kEjected;
  health.until = now + std::min(time, kLongestEjection);
  health.ejections += 1;
  health.failures = 0;
  health.successes = 0;
}

}  // namespace

void AddResult(Target* target, bool failed, TimePoint now) {
  TargetHealth& health = target->health;
  health.failures = failed ? health.failures + 1 : 0;
  health.failed += kFailedWeight * ((failed ? 1 : 0) - health.failed);
  if (health.state != HealthState::kProbation) return;
  if (failed) {
    Eject(target, now);
    return;
  }
  health.successes += 1;
  if (health.successes < kProbesToReturn) return;
  // The latency of the probes is kept; `ejections` goes back to 0 by UpdateEjection.
  health.state = HealthState::kHealthy;
  health.failed = 0;
  health.until = now;
}

int UpdateEjection(std::vector<Target>* targets, TimePoint now) {
  const Duration median = MedianLatency(*targets);
  const double median_failed = MedianFailed(*targets);
  std::vector<Target*> candidates;
  int64_t present = 0;
  int64_t out = 0;
  for (Target& it : *targets) {
    TargetHealth& health = it.health;
    if (it.leaving) continue;
    present += 1;
    if (health.state == HealthState::kEjected && now >= health.until) {
      health.state = HealthState::kProbation;
      health.successes = 0;
      // The probes alone decide whether it is still slow.
      it.samples = 0;
    }
    if (health.state != HealthState::kHealthy) {
      out += 1;
      continue;
    }
    if (health.ejections > 0 && now - health.until >= kLongestEjection) health.ejections = 0;
    const bool fails =
        health.failures >= kMaxFailures && health.failed > 2 * median_failed + kFailedMargin;
    if (fails || IsTooSlow(it, median)) candidates.push_back(&it);
  }
  std::sort(candidates.begin(), candidates.end(), [](const Target* a, const Target* b) {
    return std::tie(a->health.failures, a->latency) > std::tie(b->health.failures, b->latency);
  });
  const auto limit =
      static_cast<int64_t>(std::floor(kMaxEjectedShare * static_cast<double>(present)));
  // Others have left: the rest is needed more than its faults are avoided.
  for (Target& it : *targets) {
    if (out <= limit) break;
    if (it.leaving || it.health.state == HealthState::kHealthy) continue;
    it.health.state = HealthState::kHealthy;
    it.health.failed = 0;
    it.health.until = now;
    out -= 1;
  }
  int ejected = 0;
  for (Target* it : candidates) {
    if (out >= limit) break;
    Eject(it, now);
    out += 1;
    ejected += 1;
  }
  return ejected;
}

}  // namespace pomelopond::routing
