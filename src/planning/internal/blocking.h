// Blocking of shapes and groups that cannot be placed now, and their release.
#ifndef POMELOPOND_PLANNING_INTERNAL_BLOCKING_H_
#define POMELOPOND_PLANNING_INTERNAL_BLOCKING_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "planning/placement.h"

namespace pomelopond::planning {

void BlockShape(Planner* planner, int32_t id, WaitReason reason);
void BlockGroup(Planner* planner, int32_t id, WaitReason reason);

// Unblocks the groups and empties the list.
void UnblockGroups(Planner* planner, std::vector<int32_t>* groups);

// Unblocks up to `count` groups that were blocked with their shape, if the shape is no longer
// blocked. Groups without waiting jobs are unblocked too but not counted.
void UnblockGroupsOfShape(Planner* planner, int32_t shape_id, size_t count);

// Unblocks the shapes, with some of their groups, and empties the list.
void UnblockShapes(Planner* planner, std::vector<int32_t>* shapes);

// Unblocks the shapes that may fit now, after hosts gained free capacity.
void UpdateBlockedShapes(Planner* planner);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_INTERNAL_BLOCKING_H_
