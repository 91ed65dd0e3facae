// Provides the choice of a target for the request at the head of a router's queue.
#ifndef POMELOPOND_ROUTING_TARGET_CHOICE_H_
#define POMELOPOND_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "routing/target.h"

namespace pomelopond::routing {

// Returns the index of the target to use, or -1 when the request should wait: either no target has
// a free slot, or only slow targets have one and waiting for another target is estimated to take
// less time. In the second case a request is in flight at another target, so that its answer
// triggers a new choice. `queued` is the number of waiting requests, including the head. Among
// targets whose latencies differ by no more than the noise of the estimates, targets in
// `local_domain` come first and the random number `draw` in [0, 1) breaks ties.
int ChooseTarget(const std::vector<Target>& targets, const std::string& local_domain,
                 int64_t queued, TimePoint now, double draw);

// Returns the median latency of the usable targets that have answered, or zero without such
// targets.
Duration MedianLatency(const std::vector<Target>& targets);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_CHOICE_H_
