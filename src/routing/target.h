// A target as one router sees it.
#ifndef POMELOPOND_ROUTING_TARGET_H_
#define POMELOPOND_ROUTING_TARGET_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/endpoint.h"
#include "base/time.h"

namespace pomelopond::routing {

struct Target {
  std::string host;
  std::string failure_domain;
  Endpoint endpoint;
  int64_t share = 0;  // requests this router may have in flight there
  int64_t in_flight = 0;
  Duration latency{};     // exponentially weighted geometric mean of the answer times
  int64_t samples = 0;    // answers in `latency`
  TimePoint last_sent{};  // when the last request was sent there
  TimePoint last_answer{};
  bool leaving = false;       // the host list or the target itself says so
  bool said_leaving = false;  // the target itself has said so

  friend bool operator==(const Target& a, const Target& b) {
    return std::tie(a.host, a.failure_domain, a.endpoint, a.share, a.in_flight, a.latency,
                    a.samples, a.last_sent, a.last_answer, a.leaving, a.said_leaving) ==
           std::tie(b.host, b.failure_domain, b.endpoint, b.share, b.in_flight, b.latency,
                    b.samples, b.last_sent, b.last_answer, b.leaving, b.said_leaving);
  }
};

// Adds one answer that arrived after `sample` to the target's latency. `now` is the arrival time.
void AddLatency(Target* target, Duration sample, TimePoint now);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_H_
