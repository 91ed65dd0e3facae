#include "planning/internal/ready_queue.h"

#include <utility>

#include "planning/internal/resource_share.h"

namespace pomelopond::planning {

void RemoveFromReadyQueue(Planner* planner, int32_t id) {
  Planner::Group& group = planner->groups[id];
  if (group.ready_key < 0) return;
  Planner::Team& team = planner->teams[group.team];
  const auto rank = team.ready_groups.find(group.rank);
  rank->second.erase({group.ready_key, id});
  group.ready_key = -1;
  if (!rank->second.empty()) return;
  team.ready_groups.erase(rank);
  const auto team_order = planner->team_order.find(group.rank);
  team_order->second.erase({team.share, group.team});
  if (team_order->second.empty()) planner->team_order.erase(team_order);
}

void UpdateReadyQueue(Planner* planner, int32_t id) {
  Planner::Group& group = planner->groups[id];
  const bool ready = group.block_reason == WaitReason::kNone && !group.jobs.empty();
  const int64_t key = ready ? group.jobs.begin()->first : -1;
  if (key == group.ready_key) return;
  RemoveFromReadyQueue(planner, id);
  if (!ready) return;
  Planner::Team& team = planner->teams[group.team];
  std::set<std::pair<int64_t, int32_t>>& ready_groups = team.ready_groups[group.rank];
  if (ready_groups.empty()) planner->team_order[group.rank].insert({team.share, group.team});
  ready_groups.insert({key, id});
  group.ready_key = key;
}

void SetShare(Planner* planner, int32_t id) {
  Planner::Team& team = planner->teams[id];
  const double share = Utilization(team.used, planner->total) / team.quota.weight;
  if (share == team.share) return;
  for (const auto& [rank, groups] : team.ready_groups) {
    std::set<std::pair<double, int32_t>>& team_order = planner->team_order[rank];
    team_order.erase({team.share, id});
    team_order.insert({share, id});
  }
  team.share = share;
}

}  // namespace pomelopond::planning
