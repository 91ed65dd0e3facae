// The choice of a target for the request at the head of a router's queue.
#ifndef POMELOPOND_ROUTING_TARGET_CHOICE_H_
#define POMELOPOND_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "routing/target.h"

namespace pomelopond::routing {

// Index of the target to use, or -1 when the request should wait: either no target has a free slot,
// or only slow targets have one and waiting for another is estimated to take less time. In the
// second case a request is in flight at another target, so that its answer prompts a new choice.
// `queued` counts the waiting requests, the head included. Targets that do not differ by more than
// the noise of their estimates rank by near failure domain first, then by `draw` in [0, 1).
int ChooseTarget(const std::vector<Target>& targets, const std::string& local_domain,
                 int64_t queued, TimePoint now, double draw);

// Median latency of the targets that may be used and have answered; zero when there are none.
Duration MedianLatency(const std::vector<Target>& targets);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_CHOICE_H_
