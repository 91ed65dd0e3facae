#include "planning/internal/host_table.h"

#include <map>
#include <utility>

#include "planning/internal/blocking.h"
#include "planning/internal/ready_queue.h"
#include "planning/internal/resource_share.h"
#include "planning/internal/waiting_jobs.h"

namespace pomelopond::planning {
namespace {

int32_t InternName(std::map<std::string, int32_t>* ids, const std::string& name) {
  return ids->emplace(name, static_cast<int32_t>(ids->size())).first->second;
}

Resources FreeCapacity(const Planner::Host& host) {
  if (!host.info.usable || (host.info.probing && host.probe_placed)) return kNoCapacity;
  return host.info.capacity - host.granted;
}

// Updates a host's entry in the index after any change and records a gain in free capacity.
void UpdateFreeCapacity(Planner* planner, int32_t id) {
  const Resources capacity = FreeCapacity(planner->hosts[id]);
  const Resources before = static_cast<size_t>(id) < planner->free_capacity.leaves
                               ? SlotCapacity(planner->free_capacity, id)
                               : kNoCapacity;
  SetSlotCapacity(&planner->free_capacity, id, capacity);
  if (Fits(capacity, before)) return;
  planner->max_gained = Max(planner->max_gained, capacity);
  planner->gain_count += 1;
}

void UpdateSpread(std::map<int32_t, int32_t>* counts, int32_t key, int32_t change) {
  int32_t& count = (*counts)[key];
  count += change;
  if (count == 0) counts->erase(key);
}

}  // namespace

int32_t FindOrAddHost(Planner* planner, const std::string& id) {
  const auto [it, added] =
      planner->host_ids.emplace(id, static_cast<int32_t>(planner->hosts.size()));
  if (!added) return it->second;
  Planner::Host host;
  host.info.id = id;
  host.rack = InternName(&planner->racks, "");
  host.failure_domain = InternName(&planner->domains, "");
  planner->rack_capacity.resize(planner->racks.size());
  planner->hosts.push_back(std::move(host));
  UpdateFreeCapacity(planner, it->second);
  return it->second;
}

void UpdateUsage(Planner* planner, const JobSpec& spec, int32_t host_id, int sign) {
  Planner::Host& host = planner->hosts[host_id];
  const int32_t team_id = FindOrAddTeam(planner, spec.team);
  Planner::Team& team = planner->teams[team_id];
  const auto add = [&spec, sign](Resources* to) {
    *to = sign > 0 ? *to + spec.need : *to - spec.need;
  };
  add(&host.granted);
  if (sign > 0) host.probe_placed = true;
  add(&planner->granted);
  add(&team.used);
  if (IsNonBatch(spec)) {
    add(&planner->granted_non_batch);
    Planner::Job& job = FindOrAddJob(planner, spec);
    UpdateSpread(&job.racks, host.rack, sign);
    UpdateSpread(&job.domains, host.failure_domain, sign);
    DropJobIfIdle(planner, spec.id);
  }
  UpdateFreeCapacity(planner, host_id);
  SetShare(planner, team_id);
  if (sign > 0) return;
  planner->gain_count += 1;
  planner->max_gained = Max(planner->max_gained, {0, 0, 0});
  UnblockGroups(planner, &team.at_quota);
}

void UpdateTotals(Planner* planner) {
  if (!planner->totals_changed) return;
  planner->totals_changed = false;
  planner->largest_rack = {};
  int64_t racks = 0;
  for (const Resources& it : planner->rack_capacity) {
    planner->largest_rack = Max(planner->largest_rack, it);
    racks += it == Resources{} ? 0 : 1;
  }
  planner->has_racks = racks > 1;
  for (size_t n = 0; n < planner->teams.size(); ++n) SetShare(planner, static_cast<int32_t>(n));
}

void SetHost(Planner* planner, const PlacementHost& info) {
  const int32_t id = FindOrAddHost(planner, info.id);
  Planner::Host& host = planner->hosts[id];
  const PlacementHost before = host.info;
  if (before == info && static_cast<size_t>(id) < planner->host_capacity.leaves) return;
  if (before.usable) {
    planner->total = planner->total - before.capacity;
    planner->rack_capacity[host.rack] = planner->rack_capacity[host.rack] - before.capacity;
  }
  host.info = info;
  host.probe_placed = false;
  // Tasks that are counted by rack stay with the rack under which they were counted.
  if (host.granted == Resources{}) {
    host.rack = InternName(&planner->racks, info.rack);
    host.failure_domain = InternName(&planner->domains, info.failure_domain);
    planner->rack_capacity.resize(planner->racks.size());
  }
  if (info.usable) {
    planner->total = planner->total + info.capacity;
    planner->rack_capacity[host.rack] = planner->rack_capacity[host.rack] + info.capacity;
  }
  planner->totals_changed = true;
  SetSlotCapacity(&planner->host_capacity, id, info.capacity);
  UpdateFreeCapacity(planner, id);
  if (before.capacity != info.capacity) UnblockShapes(planner, &planner->unschedulable_shapes);
}

void SetPenalty(Planner* planner, const std::string& host, double penalty) {
  planner->hosts[FindOrAddHost(planner, host)].penalty = penalty;
}

}  // namespace pomelopond::planning
