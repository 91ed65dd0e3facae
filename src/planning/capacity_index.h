// Index of hosts by free room: finds hosts that a task fits on without looking at each host.
#ifndef POMELOPOND_PLANNING_CAPACITY_INDEX_H_
#define POMELOPOND_PLANNING_CAPACITY_INDEX_H_

#include <cstddef>
#include <vector>

#include "base/resources.h"

namespace pomelopond::planning {

// Room of a slot that takes nothing, not even a task that needs nothing.
inline constexpr Resources kNoCapacity{-1, -1, -1};

// A binary tree over slots; each node holds the maximum of its slots in each dimension.
struct CapacityIndex {
  std::vector<Resources> nodes;  // root at 1, leaves from `leaves`
  size_t leaves = 0;             // a power of two
};

// Sets the free room of a slot and grows the index when needed. O(log slots).
void SetSlotCapacity(CapacityIndex* index, size_t slot, const Resources& capacity);

inline const Resources& SlotCapacity(const CapacityIndex& index, size_t slot) {
  return index.nodes[index.leaves + slot];
}

struct CapacitySearch {
  size_t slot = 0;  // the slot found, or where a stopped search has to go on
  bool found = false;
  bool stopped = false;  // the budget ran out; whether a later slot fits is not known
};

// The first slot at or after `from` that `need` fits on. Visits at most `*budget` nodes and takes
// them off it: with rooms that are scarce in different dimensions the maxima prune little.
CapacitySearch FindFittingSlot(const CapacityIndex& index, const Resources& need, size_t from,
                               size_t* budget);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_CAPACITY_INDEX_H_
