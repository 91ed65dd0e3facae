// The choice of a host for one task.
#ifndef POMELOPOND_PLANNING_INTERNAL_HOST_CHOICE_H_
#define POMELOPOND_PLANNING_INTERNAL_HOST_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "planning/placement.h"

namespace pomelopond::planning {

// Returns whether a task of the shape leaves the capacity free that the settings keep free.
bool KeepsHeadroom(const Planner& planner, const Planner::Shape& shape);

// Returns the host for the next task of a job, or -1 after blocking the shape. `avoided` lists the
// hosts on which the task failed and may be null.
int32_t ChooseHost(Planner* planner, int32_t shape_id, const Planner::Job& job,
                   const std::vector<int32_t>* avoided, size_t* work);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_INTERNAL_HOST_CHOICE_H_
