// Provides target choices for comparison with ChooseTarget(). Only benchmarks use them.
#ifndef POMELOPOND_ROUTING_TARGET_CHOICE_ALTERNATIVES_H_
#define POMELOPOND_ROUTING_TARGET_CHOICE_ALTERNATIVES_H_

#include <cstdint>
#include <vector>

#include "routing/target.h"

namespace pomelopond::routing {

// The next two functions choose a target with a free slot for the head of a central queue. They
// return an index, or -1 when no target has a free slot. Each `draw` is a random number in [0, 1).

// Returns a random target with a free slot.
int ChooseAnyFree(const std::vector<Target>& targets, double draw);

// Returns the target with a free slot that has the least latency times (requests in flight + 1),
// whether it is slow or not.
int ChooseFreeLeastWait(const std::vector<Target>& targets, double draw);

// The functions below assign a request to a target when the request arrives; when the router's
// share of the target's slots is in use, the request waits for that target. They return an index,
// or -1 when every target is leaving.

// Returns a random target.
int ChooseRandom(const std::vector<Target>& targets, double draw);

// Returns the first target after index `last` that is not leaving.
int ChooseRoundRobin(const std::vector<Target>& targets, int last);

// Returns the one of two random targets with fewer requests in flight, or at a tie the one with the
// lower latency.
int ChoosePowerOfTwo(const std::vector<Target>& targets, double first_draw, double second_draw);

// Returns the target with the least latency times (requests in flight + 1).
int ChooseLeastWait(const std::vector<Target>& targets, double draw);

// The answer of a target to a probe.
struct Probe {
  int target = 0;       // index of the target
  int64_t running = 0;  // requests of all routers that run at the target
  Duration latency{};   // latency as the target estimates it
};

// Returns an index into `probes`: the target with the least latency among those that run fewer than
// `slots` requests, or else the target that runs the fewest requests. Returns -1 when every probed
// target is leaving.
int ChooseProbed(const std::vector<Target>& targets, const std::vector<Probe>& probes,
                 int64_t slots);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_CHOICE_ALTERNATIVES_H_
