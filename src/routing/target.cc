#include "routing/target.h"

#include <algorithm>
#include <cmath>

namespace pomelopond::routing {
namespace {

// Weight of the newest answer in the latency estimate. For lognormal service times (sigma 1) the
// standard deviation of the estimate is 33% at weight 0.2, so that normal targets are classified as
// slow, and 16% at weight 0.05.
constexpr double kLatencyWeight = 0.05;

// When a request was sent more than this time after the last answer, the earlier estimate may
// describe another state of the target, so it counts as at most kStaleSamples answers.
constexpr Duration kStaleAfter = std::chrono::seconds(3);
constexpr int64_t kStaleSamples = 4;

}  // namespace

int64_t FreeSlots(const Target& target) {
  if (target.leaving || target.health.state == HealthState::kEjected) return 0;
  const bool probation = target.health.state == HealthState::kProbation;
  const int64_t limit = probation ? std::min<int64_t>(target.slot_share, 1) : target.slot_share;
  return std::max<int64_t>(limit - target.in_flight, 0);
}

void MarkAnnouncedLeaving(Target* target) {
  // Once the host list shows the target as leaving, only the host list ends the mark.
  if (target->leaving) return;
  target->leaving = true;
  target->announced_leaving = true;
}

void RecordLatency(Target* target, Duration sample, TimePoint now) {
  const Duration bounded = std::max(sample, Duration(1));
  const TimePoint sent = now - bounded;
  if (sent - target->last_answer > kStaleAfter) {
    target->samples = std::min(target->samples, kStaleSamples);
  }
  target->last_answer = now;
  target->samples += 1;
  if (target->samples == 1) {
    target->latency = bounded;
    return;
  }
  const double weight = std::max(kLatencyWeight, 1 / static_cast<double>(target->samples));
  // Uses the geometric mean, because one answer from a heavy tail must not outweigh ten usual ones.
  const double mean = (1 - weight) * std::log(static_cast<double>(target->latency.count())) +
                      weight * std::log(static_cast<double>(bounded.count()));
  target->latency = std::max(Duration(std::llround(std::exp(mean))), Duration(1));
}

}  // namespace pomelopond::routing
