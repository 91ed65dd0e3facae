// Target choices that were weighed against the one in use. Only measurements use them.
#ifndef POMELOPOND_ROUTING_TARGET_CHOICE_ALTERNATIVES_H_
#define POMELOPOND_ROUTING_TARGET_CHOICE_ALTERNATIVES_H_

#include <cstdint>
#include <vector>

#include "routing/target.h"

namespace pomelopond::routing {

// These take a target with a free slot for the head of a central queue. They return an index, or -1
// when no target has a free slot. Draws are in [0, 1).

// Any free target.
int ChooseAnyFree(const std::vector<Target>& targets, double draw);

// The free target with the least latency times (requests in flight + 1), slow or not.
int ChooseFreeLeastWait(const std::vector<Target>& targets, double draw);

// These bind a request to a target when it arrives; above the router's share it then waits for that
// target. They return an index, or -1 when every target is leaving.

int ChooseRandom(const std::vector<Target>& targets, double draw);

// The first usable target after index `last`.
int ChooseRoundRobin(const std::vector<Target>& targets, int last);

// The one of two drawn targets with fewer requests in flight, at a tie the one with less latency.
int ChoosePowerOfTwo(const std::vector<Target>& targets, double first_draw, double second_draw);

// The target with the least latency times (requests in flight + 1).
int ChooseLeastWait(const std::vector<Target>& targets, double draw);

// What a target answered to a probe.
struct Probe {
  int target = 0;
  int64_t running = 0;  // requests of all routers
  Duration latency{};   // the target's own estimate
};

// Index into `probes`: the least latency among targets with a free slot of `slots`, else the fewest
// requests; -1 without probes of usable targets.
int ChooseProbed(const std::vector<Target>& targets, const std::vector<Probe>& probes,
                 int64_t slots);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_CHOICE_ALTERNATIVES_H_
