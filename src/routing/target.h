// Provides the state that one router keeps for a target.
#ifndef POMELOPOND_ROUTING_TARGET_H_
#define POMELOPOND_ROUTING_TARGET_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/endpoint.h"
#include "base/time.h"

namespace pomelopond::routing {

// Whether the router sends requests to a target.
enum class HealthState {
  kHealthy,    // receives requests
  kEjected,    // receives no requests until TargetHealth::until
  kProbation,  // receives one request at a time until enough of them succeed
};

// The results that decide on the ejection of a target.
struct TargetHealth {
  HealthState state = HealthState::kHealthy;
  int64_t consecutive_failures = 0;  // since the last success or ejection
  double failure_rate = 0;           // exponentially weighted fraction of requests that failed
  int64_t probe_successes = 0;       // since the probation began
  int64_t ejections = 0;             // in succession; each lasts twice as long as the one before
  TimePoint until{};  // kEjected: end of the ejection; kHealthy: when the target returned to use

  friend bool operator==(const TargetHealth& a, const TargetHealth& b) {
    return std::tie(a.state, a.consecutive_failures, a.failure_rate, a.probe_successes, a.ejections,
                    a.until) == std::tie(b.state, b.consecutive_failures, b.failure_rate,
                                         b.probe_successes, b.ejections, b.until);
  }
};

// A target with the counts, latency and health that the router has observed.
struct Target {
  std::string host;  // id of the host that the target runs on
  std::string failure_domain;
  Endpoint endpoint;
  int64_t slot_share = 0;          // limit of requests in flight from this router
  int64_t in_flight = 0;           // requests of this router that the target has not answered yet
  Duration latency{};              // exponentially weighted geometric mean of the answer times
  int64_t samples = 0;             // number of answers in `latency`
  TimePoint last_sent{};           // when the last request was sent to the target
  TimePoint last_answer{};         // when the last answer arrived
  bool leaving = false;            // the host list or the target itself reports that it is leaving
  bool announced_leaving = false;  // the target reports leaving while the host list reports live
  TargetHealth health;

  friend bool operator==(const Target& a, const Target& b) {
    return std::tie(a.host, a.failure_domain, a.endpoint, a.slot_share, a.in_flight, a.latency,
                    a.samples, a.last_sent, a.last_answer, a.leaving, a.announced_leaving,
                    a.health) == std::tie(b.host, b.failure_domain, b.endpoint, b.slot_share,
                                          b.in_flight, b.latency, b.samples, b.last_sent,
                                          b.last_answer, b.leaving, b.announced_leaving, b.health);
  }
};

// Returns how many requests may be sent to the target now.
int64_t FreeSlots(const Target& target);

// Marks a target that has announced that it is leaving. The mark stays until the host list shows
// the host as leaving or gone and then as live again, because a host list that still shows the host
// as live is older than the announcement.
void MarkAnnouncedLeaving(Target* target);

// Adds the answer time `sample` of one request to the target's latency. `now` is the time at which
// the answer arrived.
void RecordLatency(Target* target, Duration sample, TimePoint now);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_H_
