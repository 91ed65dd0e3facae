// Index of hosts by capacity: finds hosts on which a task fits without a scan of all hosts.
#ifndef POMELOPOND_PLANNING_CAPACITY_INDEX_H_
#define POMELOPOND_PLANNING_CAPACITY_INDEX_H_

#include <cstddef>
#include <vector>

#include "base/resources.h"

namespace pomelopond::planning {

// Capacity of a slot on which no task fits, not even a task that needs nothing.
inline constexpr Resources kNoCapacity{-1, -1, -1};

// A binary tree over slots. Each node holds the maximum of the capacities of its slots in each
// dimension.
struct CapacityIndex {
  std::vector<Resources> nodes;  // the root is at 1, the leaves begin at index `leaves`
  size_t leaves = 0;             // number of leaves, a power of two
};

// Sets the capacity of a slot and grows the index if needed. O(log slots).
void SetSlotCapacity(CapacityIndex* index, size_t slot, const Resources& capacity);

inline const Resources& SlotCapacity(const CapacityIndex& index, size_t slot) {
  return index.nodes[index.leaves + slot];
}

struct CapacitySearch {
  size_t slot = 0;       // the slot found, or the slot from which a stopped search must continue
  bool found = false;    // a slot was found
  bool stopped = false;  // the budget was used up; whether a later slot fits is not known
};

// Finds the first slot at or after `from` on which `need` fits. Visits at most `*budget` nodes and
// subtracts those visited from it. The budget is needed because the maxima prune few subtrees when
// the capacities of the slots are scarce in different dimensions.
CapacitySearch FindFittingSlot(const CapacityIndex& index, const Resources& need, size_t from,
                               size_t* budget);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_CAPACITY_INDEX_H_
