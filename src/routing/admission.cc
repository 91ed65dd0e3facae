#include "routing/admission.h"

#include <algorithm>
#include <cmath>

namespace pomelopond::routing {
namespace {

// Minimum weight of the newest answer in the mean, which applies from the 20th answer on.
constexpr double kSampleWeight = 0.05;

// When no request of an operation has been sent for this time, its estimate no longer causes
// refusals. Otherwise an estimate from a period of high latency could refuse all requests of the
// operation forever, since only requests that are sent update it.
constexpr Duration kStaleAfter = std::chrono::seconds(1);

// Time that must remain to the deadline for each unit of estimated wait.
constexpr int64_t kMinTimePerWait = 2;

// A request is sent only when at least the mean divided by this remains to the deadline.
constexpr int64_t kMinTimeDivisor = 2;

bool IsStale(const OperationLatency& operation, TimePoint now) {
  return operation.samples == 0 || now - operation.last_sent >= kStaleAfter;
}

}  // namespace

void RecordLatencySample(OperationLatency* latency, Duration sample) {
  const Duration bounded = std::max(sample, Duration(1));
  latency->samples += 1;
  const double weight = std::max(kSampleWeight, 1 / static_cast<double>(latency->samples));
  const double log_mean =
      latency->mean == Duration::zero() ? 0 : std::log(static_cast<double>(latency->mean.count()));
  const double mean =
      (1 - weight) * log_mean + weight * std::log(static_cast<double>(bounded.count()));
  latency->mean = std::max(Duration(std::llround(std::exp(mean))), Duration(1));
}

bool AdmitToQueue(const OperationLatency& operation, const QueueEstimate& estimate,
                  TimePoint deadline, TimePoint now) {
  if (deadline <= now) return false;
  if (estimate.slots > 0) {
    const Duration wait =
        std::max(estimate.latency * estimate.requests / estimate.slots, estimate.caller_wait);
    const Duration own = IsStale(operation, now) ? Duration::zero() : operation.mean;
    if (estimate.requests > 0 && kMinTimePerWait * wait > deadline - now - own) return false;
  }
  return AdmitToTarget(operation, deadline, now);
}

bool AdmitToTarget(const OperationLatency& operation, TimePoint deadline, TimePoint now) {
  if (deadline <= now) return false;
  if (IsStale(operation, now)) return true;
  return deadline - now >= operation.mean / kMinTimeDivisor;
}

}  // namespace pomelopond::routing
