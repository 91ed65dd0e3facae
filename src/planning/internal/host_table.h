// The hosts of the planner, with the resources in use on them and in total.
#ifndef POMELOPOND_PLANNING_INTERNAL_HOST_TABLE_H_
#define POMELOPOND_PLANNING_INTERNAL_HOST_TABLE_H_

#include <cstdint>
#include <string>

#include "planning/placement.h"

namespace pomelopond::planning {

int32_t FindOrAddHost(Planner* planner, const std::string& id);

// Adds the usage of a task to a host, its team and the totals (sign 1), or subtracts it (sign -1).
void UpdateUsage(Planner* planner, const JobSpec& spec, int32_t host_id, int sign);

// Recomputes the largest rack and the teams' shares if the capacity of hosts has changed.
void UpdateTotals(Planner* planner);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_INTERNAL_HOST_TABLE_H_
