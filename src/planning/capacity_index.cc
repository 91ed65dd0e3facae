#include "planning/capacity_index.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

Resources Max(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_milli, b.cpu_milli), std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

void Grow(CapacityIndex* index, size_t slots) {
  size_t leaves = std::max<size_t>(index->leaves, 1);
  while (leaves < slots) leaves *= 2;
  if (leaves == index->leaves) return;
  std::vector<Resources> nodes(2 * leaves, kNoCapacity);
  for (size_t n = 0; n < index->leaves; ++n) nodes[leaves + n] = index->nodes[index->leaves + n];
  for (size_t n = leaves - 1; n > 0; --n) nodes[n] = Max(nodes[2 * n], nodes[2 * n + 1]);
  index->nodes = std::move(nodes);
  index->leaves = leaves;
}

}  // namespace

void SetSlotCapacity(CapacityIndex* index, size_t slot, const Resources& capacity) {
  Grow(index, slot + 1);
  size_t n = index->leaves + slot;
  index->nodes[n] = capacity;
  for (n /= 2; n > 0; n /= 2) {
    const Resources max = Max(index->nodes[2 * n], index->nodes[2 * n + 1]);
    if (index->nodes[n] == max) return;
    index->nodes[n] = max;
  }
}

CapacitySearch FindFittingSlot(const CapacityIndex& index, const Resources& need, size_t from,
                               size_t* budget) {
  if (from >= index.leaves) return {};
  size_t n = index.leaves + from;
  for (;;) {
    if (*budget == 0) {
      // Continue later at the first slot below the node that was to be visited next.
      while (n < index.leaves) n *= 2;
      return {n - index.leaves, false, true};
    }
    *budget -= 1;
    if (Fits(need, index.nodes[n])) {
      if (n >= index.leaves) return {n - index.leaves, true, false};
      n *= 2;
      continue;
    }
    // Go on with the next subtree to the right. A power of two means that none is left.
    ++n;
    if ((n & (n - 1)) == 0) return {};
    while ((n & 1) == 0) n /= 2;
    // An odd node is a right child, whose left sibling has been searched already.
  }
}

}  // namespace pomelopond::planning
