#include "planning/placement.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

double Ratio(int64_t part, int64_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

// Share of the host in use after the grant, in its scarcest dimension.
double UseAfter(const Resources& used, const Resources& need, const Resources& capacity) {
  const Resources after = used + need;
  double use = 0;
  if (capacity.cpu_milli > 0) {
    use = std::max(use, Ratio(after.cpu_milli, capacity.cpu_milli));
  }
  if (capacity.memory_mb > 0) {
    use = std::max(use, Ratio(after.memory_mb, capacity.memory_mb));
  }
  if (capacity.accelerators > 0) {
    use = std::max(use, Ratio(after.accelerators, capacity.accelerators));
  }
  return use;
}

}  // namespace

std::vector<Event> PlaceTasks(const ShardState& state, const std::vector<HostRoom>& hosts,
                              size_t limit) {
  std::vector<const Task*> waiting;
  for (const std::string& it : state.pending) waiting.push_back(&state.tasks.at(it));
  std::stable_sort(waiting.begin(), waiting.end(), [&state](const Task* a, const Task* b) {
    return state.jobs.at(a->job).rank > state.jobs.at(b->job).rank;
  });
  std::map<std::string, Resources> used;
  for (const HostRoom& it : hosts) used[it.id] = GrantedOn(state, it.id);
  std::vector<Event> grants;
  for (const Task* task : waiting) {
    if (grants.size() >= limit) break;
    const Resources& need = state.jobs.at(task->job).need;
    const HostRoom* best = nullptr;
    double best_use = 0;
    for (const HostRoom& it : hosts) {
      if (!it.usable || !Fits(used[it.id] + need, it.capacity)) continue;
      const double use = UseAfter(used[it.id], need, it.capacity);
      if (best != nullptr && use >= best_use) continue;
      best = &it;
      best_use = use;
    }
    if (best == nullptr) continue;
    used[best->id] = used[best->id] + need;
    Event grant = TaskEvent(EventType::kGrant, task->id, task->attempt + 1);
    grant.host = best->id;
    grants.push_back(std::move(grant));
  }
  return grants;
}

bool CanEverRun(const JobSpec& spec, const std::vector<HostRoom>& hosts) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [&spec](const HostRoom& it) { return Fits(spec.need, it.capacity); });
}

}  // namespace pomelopond::planning
