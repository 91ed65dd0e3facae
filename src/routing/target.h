// A target as one router sees it, and the choice among targets.
#ifndef POMELOPOND_ROUTING_TARGET_H_
#define POMELOPOND_ROUTING_TARGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"

namespace pomelopond::routing {

struct Target {
  std::string host;
  std::string failure_domain;
  Endpoint endpoint;
  int64_t share = 0;  // requests this router may have in flight there
  int64_t in_flight = 0;
  Duration latency{};         // exponentially weighted mean of answers' times
  bool leaving = false;       // the host list or the target itself says so
  bool said_leaving = false;  // the target itself has said so

  friend bool operator==(const Target& a, const Target& b) {
    return a.host == b.host && a.failure_domain == b.failure_domain && a.endpoint == b.endpoint &&
           a.share == b.share && a.in_flight == b.in_flight && a.latency == b.latency &&
           a.leaving == b.leaving && a.said_leaving == b.said_leaving;
  }
};

// Index of the usable target with the least estimated wait, or -1 when no target has a free slot.
// `near_domain` wins ties. `draw` in [0, 1) picks among targets that are otherwise equal.
int ChooseTarget(const std::vector<Target>& targets, const std::string& near_domain, double draw);

// The mean after one more answer.
Duration UpdateLatency(Duration mean, Duration sample);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_H_
