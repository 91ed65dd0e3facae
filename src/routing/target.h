// A target as one router sees it.
#ifndef POMELOPOND_ROUTING_TARGET_H_
#define POMELOPOND_ROUTING_TARGET_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/endpoint.h"
#include "base/time.h"

namespace pomelopond::routing {

enum class HealthState {
  kHealthy,
  kEjected,    // gets nothing until TargetHealth::until
  kProbation,  // gets one request at a time until enough of them succeed
};

struct TargetHealth {
  HealthState state = HealthState::kHealthy;
  int64_t consecutive_failures = 0;  // in a row
  double failure_rate = 0;           // exponentially weighted share of failures
  int64_t probe_successes = 0;       // on probation
  int64_t ejections = 0;             // one after the other, each for twice as long
  TimePoint until{};                 // end of the ejection; kHealthy: since when

  friend bool operator==(const TargetHealth& a, const TargetHealth& b) {
    return std::tie(a.state, a.consecutive_failures, a.failure_rate, a.probe_successes, a.ejections,
                    a.until) == std::tie(b.state, b.consecutive_failures, b.failure_rate,
                                         b.probe_successes, b.ejections, b.until);
  }
};

struct Target {
  std::string host;
  std::string failure_domain;
  Endpoint endpoint;
  int64_t slot_share = 0;  // requests this router may have in flight there
  int64_t in_flight = 0;
  Duration latency{};     // exponentially weighted geometric mean of the answer times
  int64_t samples = 0;    // answers in `latency`
  TimePoint last_sent{};  // when the last request was sent there
  TimePoint last_answer{};
  bool leaving = false;            // the host list or the target itself says so
  bool announced_leaving = false;  // the target itself says so while the host list calls it live
  TargetHealth health;

  friend bool operator==(const Target& a, const Target& b) {
    return std::tie(a.host, a.failure_domain, a.endpoint, a.slot_share, a.in_flight, a.latency,
                    a.samples, a.last_sent, a.last_answer, a.leaving, a.announced_leaving,
                    a.health) == std::tie(b.host, b.failure_domain, b.endpoint, b.slot_share,
                                          b.in_flight, b.latency, b.samples, b.last_sent,
                                          b.last_answer, b.leaving, b.announced_leaving, b.health);
  }
};

// Requests that may be sent there now.
int64_t FreeSlots(const Target& target);

// Marks a target that announced its leaving. The mark stays until the host list shows the host as
// leaving or gone, and then as live again: a host list that still says live is older than the
// announcement.
void MarkAnnouncedLeaving(Target* target);

// Adds one answer that arrived after `sample` to the target's latency. `now` is the arrival time.
void RecordLatency(Target* target, Duration sample, TimePoint now);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_H_
