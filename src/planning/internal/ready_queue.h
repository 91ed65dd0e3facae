// The queue of groups that are ready to be placed, ordered by rank, team share and arrival.
#ifndef POMELOPOND_PLANNING_INTERNAL_READY_QUEUE_H_
#define POMELOPOND_PLANNING_INTERNAL_READY_QUEUE_H_

#include <cstdint>

#include "planning/placement.h"

namespace pomelopond::planning {

// Takes a group out of the queue, if it is there.
void RemoveFromReadyQueue(Planner* planner, int32_t id);

// Queues a group with waiting jobs under the arrival of its oldest job, unless the group is
// blocked; otherwise takes it out of the queue.
void UpdateReadyQueue(Planner* planner, int32_t id);

// Recomputes the share of a team and reorders the queue to match.
void SetShare(Planner* planner, int32_t id);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_INTERNAL_READY_QUEUE_H_
