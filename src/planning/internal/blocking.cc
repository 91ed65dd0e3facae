#include "planning/internal/blocking.h"

#include "planning/internal/ready_queue.h"

namespace pomelopond::planning {
namespace {

// Groups unblocked together with their shape. Unblocking all would take 1 us for each of up to some
// 100,000 groups in one call. With more waiting groups than this, teams take turns instead of being
// served by their share.
constexpr size_t kGroupsPerUnblock = 8;

void UnblockShape(Planner* planner, int32_t id) {
  planner->shapes[id].block_reason = WaitReason::kNone;
  UnblockGroupsOfShape(planner, id, kGroupsPerUnblock);
}

}  // namespace

void BlockShape(Planner* planner, int32_t id, WaitReason reason) {
  Planner::Shape& shape = planner->shapes[id];
  shape.block_reason = reason;
  switch (reason) {
    case WaitReason::kNeverFits:
      planner->unschedulable_shapes.push_back(id);
      break;
    case WaitReason::kHeadroom:
      planner->headroom_shapes.push_back(id);
      break;
    default:
      planner->blocked_shapes.insert({shape.need.cpu_milli, id});
      break;
  }
}

void BlockGroup(Planner* planner, int32_t id, WaitReason reason) {
  RemoveFromReadyQueue(planner, id);
  planner->groups[id].block_reason = reason;
}

void UnblockGroups(Planner* planner, std::vector<int32_t>* groups) {
  std::vector<int32_t> blocked;
  blocked.swap(*groups);
  for (const int32_t it : blocked) {
    planner->groups[it].block_reason = WaitReason::kNone;
    UpdateReadyQueue(planner, it);
  }
}

void UnblockGroupsOfShape(Planner* planner, int32_t shape_id, size_t count) {
  Planner::Shape& shape = planner->shapes[shape_id];
  if (shape.block_reason != WaitReason::kNone) return;
  while (count > 0 && !shape.blocked_groups.empty()) {
    const auto rank = shape.blocked_groups.begin();
    const int32_t id = rank->second.front();
    rank->second.pop_front();
    if (rank->second.empty()) shape.blocked_groups.erase(rank);
    planner->groups[id].block_reason = WaitReason::kNone;
    UpdateReadyQueue(planner, id);
    if (!planner->groups[id].jobs.empty()) --count;
  }
}

void UnblockShapes(Planner* planner, std::vector<int32_t>* shapes) {
  std::vector<int32_t> blocked;
  blocked.swap(*shapes);
  for (const int32_t it : blocked) UnblockShape(planner, it);
}

void UpdateBlockedShapes(Planner* planner) {
  UnblockShapes(planner, &planner->retry_shapes);
  if (planner->max_gained == kNoCapacity) return;
  UnblockShapes(planner, &planner->headroom_shapes);
  for (auto it = planner->blocked_shapes.begin(); it != planner->blocked_shapes.end();) {
    if (it->first > planner->max_gained.cpu_milli) break;
    const int32_t id = it->second;
    if (!Fits(planner->shapes[id].need, planner->max_gained)) {
      ++it;
      continue;
    }
    it = planner->blocked_shapes.erase(it);
    UnblockShape(planner, id);
  }
  planner->max_gained = kNoCapacity;
}

}  // namespace pomelopond::planning
