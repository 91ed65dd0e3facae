#include "planning/placement.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

// Number of hosts compared for one task. This is enough to keep hosts evenly used; more cost time
// in each decision.
constexpr size_t kCandidates = 16;
// Number of positions at which sampling starts, so that the candidates come from different racks.
constexpr size_t kSamples = 8;
// Maximum number of index nodes visited by one sample and by one search of all hosts. A visit takes
// about 2 ns.
constexpr size_t kSampleBudget = 64;
constexpr size_t kSearchBudget = 1024;
constexpr size_t kCursorStep = 7919;  // a prime, so that samples reach every host
// Groups unblocked together with their shape. Unblocking all would take 1 us for each of up to some
// 100,000 groups in one call. With more waiting groups than this, teams take turns instead of being
// served by their share.
constexpr size_t kGroupsPerUnblock = 8;
// Bound of the work of one call, in visited index nodes. The remaining work is done in the next
// call.
constexpr size_t kBaseWorkPerCall = 3072;
constexpr size_t kWorkPerGrant = 1024;
constexpr size_t kWorkPerBlockedGroup = 32;  // cost of blocking a group

double Ratio(int64_t part, int64_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

// Returns the used fraction of `whole` in the scarcest dimension.
double Utilization(const Resources& used, const Resources& whole) {
  double utilization = 0;
  if (whole.cpu_milli > 0)
    utilization = std::max(utilization, Ratio(used.cpu_milli, whole.cpu_milli));
  if (whole.memory_mb > 0)
    utilization = std::max(utilization, Ratio(used.memory_mb, whole.memory_mb));
  if (whole.accelerators > 0)
    utilization = std::max(utilization, Ratio(used.accelerators, whole.accelerators));
  return utilization;
}

Resources Max(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_milli, b.cpu_milli), std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

Resources Scale(const Resources& a, double factor) {
  const auto scaled = [factor](int64_t it) {
    return static_cast<int64_t>(static_cast<double>(it) * factor);
  };
  return {scaled(a.cpu_milli), scaled(a.memory_mb), scaled(a.accelerators)};
}

bool IsNonBatch(const JobSpec& spec) { return spec.kind != JobKind::kBatch; }

// Returns whether `used` and `need` together stay within `bound` in the dimensions of which `need`
// asks for something. A task is not held back because a bound is exceeded in another dimension.
bool WithinBound(const Resources& used, const Resources& need, const Resources& bound) {
  return (need.cpu_milli == 0 || used.cpu_milli + need.cpu_milli <= bound.cpu_milli) &&
         (need.memory_mb == 0 || used.memory_mb + need.memory_mb <= bound.memory_mb) &&
         (need.accelerators == 0 || used.accelerators + need.accelerators <= bound.accelerators);
}

int32_t InternName(std::map<std::string, int32_t>* ids, const std::string& name) {
  return ids->emplace(name, static_cast<int32_t>(ids->size())).first->second;
}

int32_t FindOrAddTeam(Planner* planner, const std::string& name) {
  const auto [it, added] =
      planner->team_ids.emplace(name, static_cast<int32_t>(planner->teams.size()));
  if (!added) return it->second;
  Planner::Team team;
  team.name = name;
  const auto quota = planner->settings.quotas.find(name);
  if (quota != planner->settings.quotas.end()) team.quota = quota->second;
  planner->teams.push_back(std::move(team));
  return it->second;
}

int32_t FindOrAddShape(Planner* planner, const JobSpec& spec) {
  const Resources& need = spec.need;
  const auto [it, added] = planner->shape_ids.emplace(
      std::tuple(need.cpu_milli, need.memory_mb, need.accelerators, !IsNonBatch(spec)),
      static_cast<int32_t>(planner->shapes.size()));
  if (!added) return it->second;
  Planner::Shape shape;
  shape.need = need;
  shape.batch = !IsNonBatch(spec);
  planner->shapes.push_back(std::move(shape));
  return it->second;
}

int32_t FindOrAddGroup(Planner* planner, const JobSpec& spec) {
  const int32_t team = FindOrAddTeam(planner, spec.team);
  const int32_t shape = FindOrAddShape(planner, spec);
  const auto [it, added] = planner->group_ids.emplace(std::tuple(spec.rank, team, shape),
                                                      static_cast<int32_t>(planner->groups.size()));
  if (!added) return it->second;
  Planner::Group group;
  group.rank = spec.rank;
  group.team = team;
  group.shape = shape;
  planner->groups.push_back(std::move(group));
  return it->second;
}

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

// Queues a group with waiting jobs under the arrival of its oldest job, unless the group is
// blocked; otherwise takes it out of the queue.
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

void UnblockGroups(Planner* planner, std::vector<int32_t>* groups) {
  std::vector<int32_t> blocked;
  blocked.swap(*groups);
  for (const int32_t it : blocked) {
    planner->groups[it].block_reason = WaitReason::kNone;
    UpdateReadyQueue(planner, it);
  }
}

// Unblocks up to `count` groups that were blocked with their shape, if the shape is no longer
// blocked. Groups without waiting jobs are unblocked too but not counted.
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

void UnblockShape(Planner* planner, int32_t id) {
  planner->shapes[id].block_reason = WaitReason::kNone;
  UnblockGroupsOfShape(planner, id, kGroupsPerUnblock);
}

void UnblockShapes(Planner* planner, std::vector<int32_t>* shapes) {
  std::vector<int32_t> blocked;
  blocked.swap(*shapes);
  for (const int32_t it : blocked) UnblockShape(planner, it);
}

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

void UpdateSpread(std::map<int32_t, int32_t>* counts, int32_t key, int32_t change) {
  int32_t& count = (*counts)[key];
  count += change;
  if (count == 0) counts->erase(key);
}

void DropJobIfIdle(Planner* planner, const std::string& id) {
  const auto it = planner->jobs.find(id);
  if (it == planner->jobs.end()) return;
  if (it->second.waiting.empty() && it->second.delayed == 0 && it->second.racks.empty()) {
    planner->jobs.erase(it);
  }
}

Planner::Job& FindOrAddJob(Planner* planner, const JobSpec& spec) {
  const auto [it, added] = planner->jobs.try_emplace(spec.id);
  if (added) {
    it->second.group = FindOrAddGroup(planner, spec);
    it->second.arrival = planner->next_arrival++;
  }
  return it->second;
}

// Adds the usage of a task to a host, its team and the totals (sign 1), or subtracts it (sign -1).
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

void AddWaiting(Planner* planner, const JobSpec& spec, int32_t index) {
  Planner::Job& job = FindOrAddJob(planner, spec);
  job.waiting.push_back(index);
  planner->groups[job.group].jobs.emplace(job.arrival, spec.id);
  UpdateReadyQueue(planner, job.group);
}

// Updates the job's group after tasks were removed from `waiting`.
void AfterRemoval(Planner* planner, const std::string& id, Planner::Job* job) {
  if (!job->waiting.empty()) return;
  const int32_t group = job->group;
  planner->groups[group].jobs.erase(job->arrival);
  UpdateReadyQueue(planner, group);
  UnblockGroupsOfShape(planner, planner->groups[group].shape, 1);
  DropJobIfIdle(planner, id);
}

bool RemoveWaiting(Planner* planner, const std::string& id, int32_t index) {
  const auto job = planner->jobs.find(id);
  if (job == planner->jobs.end()) return false;
  std::vector<int32_t>& waiting = job->second.waiting;
  const auto it = std::find(waiting.rbegin(), waiting.rend(), index);
  if (it == waiting.rend()) return false;
  waiting.erase(std::next(it).base());
  AfterRemoval(planner, id, &job->second);
  return true;
}

bool IsPending(const ShardState& state, const std::string& task) {
  const auto it = state.tasks.find(task);
  return it != state.tasks.end() && it->second.state == TaskState::kPending;
}

// Cancels the reservations of grants that were decided but never applied.
void CancelReservations(const ShardState& state, Planner* planner) {
  std::unordered_map<std::string, Planner::Reservation> left;
  left.swap(planner->reserved);
  for (const auto& [task, it] : left) {
    const JobSpec& spec = state.jobs.at(it.job);
    planner->hosts[it.host].probe_placed = false;
    UpdateUsage(planner, spec, it.host, -1);
    if (IsPending(state, task)) AddWaiting(planner, spec, it.index);
  }
}

void RequeueDelayed(const ShardState& state, Planner* planner, TimePoint now) {
  while (!planner->delayed.empty() && planner->delayed.begin()->first <= now) {
    const auto [id, index] = planner->delayed.begin()->second;
    planner->delayed.erase(planner->delayed.begin());
    const auto job = planner->jobs.find(id);
    if (job != planner->jobs.end()) job->second.delayed -= 1;
    if (IsPending(state, TaskId(id, index))) AddWaiting(planner, state.jobs.at(id), index);
    DropJobIfIdle(planner, id);
  }
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

bool KeepsHeadroom(const Planner& planner, const Planner::Shape& shape) {
  const PlacementSettings& settings = planner.settings;
  if (settings.headroom_share > 0 &&
      !WithinBound(planner.granted, shape.need,
                   Scale(planner.total, 1 - settings.headroom_share))) {
    return false;
  }
  if (shape.batch || !settings.keep_rack_free || !planner.has_racks) return true;
  return WithinBound(planner.granted_non_batch, shape.need, planner.total - planner.largest_rack);
}

// Score of a candidate host; lower is better. A host on which the task failed is the last resort.
// Tasks of a service or watch go to the failure domain, then to the rack, with the fewest tasks of
// the job. Otherwise the host with the lowest utilization is chosen.
struct Score {
  bool avoided = false;
  int32_t domain_tasks = 0;
  int32_t rack_tasks = 0;
  double utilization = 0;

  friend bool operator<(const Score& a, const Score& b) {
    return std::tie(a.avoided, a.domain_tasks, a.rack_tasks, a.utilization) <
           std::tie(b.avoided, b.domain_tasks, b.rack_tasks, b.utilization);
  }
};

int32_t CountOf(const std::map<int32_t, int32_t>& counts, int32_t key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

struct Choice {
  int32_t host = -1;
  Score score;
};

// The task to place next.
struct Next {
  const Planner::Shape& shape;
  const Planner::Job& job;
  const std::vector<int32_t>* avoided;  // hosts on which the task failed; may be null
};

void Consider(const Planner& planner, const Next& next, size_t slot, Choice* choice) {
  const Planner::Shape& shape = next.shape;
  const Planner::Job& job = next.job;
  const Planner::Host& host = planner.hosts[slot];
  Score score;
  if (next.avoided != nullptr) {
    score.avoided = std::find(next.avoided->begin(), next.avoided->end(),
                              static_cast<int32_t>(slot)) != next.avoided->end();
  }
  score.utilization = Utilization(host.granted + shape.need, host.info.capacity) + host.penalty;
  if (!shape.batch) {
    score.domain_tasks = CountOf(job.domains, host.failure_domain);
    score.rack_tasks = CountOf(job.racks, host.rack);
  }
  if (choice->host >= 0 && !(score < choice->score)) return;
  choice->host = static_cast<int32_t>(slot);
  choice->score = score;
}

// Samples hosts with enough free capacity and returns the best of them. With few hosts, all of them
// are compared.
Choice SampleHosts(Planner* planner, const Next& next) {
  const Planner::Shape& shape = next.shape;
  Choice choice;
  const size_t count = planner->hosts.size();
  if (count <= kCandidates) {
    for (size_t n = 0; n < count; ++n) {
      if (Fits(shape.need, SlotCapacity(planner->free_capacity, n)))
        Consider(*planner, next, n, &choice);
    }
    return choice;
  }
  planner->sample_cursor = (planner->sample_cursor + kCursorStep) % count;
  for (size_t sample = 0; sample < kSamples; ++sample) {
    size_t from = (planner->sample_cursor + sample * count / kSamples) % count;
    for (size_t n = 0; n < kCandidates / kSamples; ++n) {
      size_t budget = kSampleBudget;
      const CapacitySearch found =
          FindFittingSlot(planner->free_capacity, shape.need, from, &budget);
      if (!found.found) break;
      Consider(*planner, next, found.slot, &choice);
      from = found.slot + 1;
    }
  }
  return choice;
}

// Returns the host for the next task of a job, or -1 after blocking the shape.
int32_t ChooseHost(Planner* planner, int32_t shape_id, const Planner::Job& job,
                   const std::vector<int32_t>* avoided, size_t* work) {
  Planner::Shape& shape = planner->shapes[shape_id];
  planner->searches += 1;
  // Search for any fitting host before sampling: for a shape that fits on no host, this costs less
  // than sampling.
  if (shape.search_from == 0) shape.search_gain_count = planner->gain_count;
  size_t budget = kSearchBudget;
  const CapacitySearch search =
      FindFittingSlot(planner->free_capacity, shape.need, shape.search_from, &budget);
  *work -= std::min(*work, kSearchBudget - budget);
  shape.search_from = search.stopped ? search.slot : 0;
  if (search.found) {
    const Choice choice = SampleHosts(planner, {shape, job, avoided});
    return choice.host >= 0 ? choice.host : static_cast<int32_t>(search.slot);
  }
  if (search.stopped || shape.search_gain_count != planner->gain_count) {
    // Either not all hosts were searched, or a host that the search had passed gained capacity.
    shape.block_reason = WaitReason::kNoCapacity;
    planner->retry_shapes.push_back(shape_id);
    return -1;
  }
  size_t all = planner->host_capacity.nodes.size();
  const bool fits = FindFittingSlot(planner->host_capacity, shape.need, 0, &all).found;
  BlockShape(planner, shape_id, fits ? WaitReason::kNoCapacity : WaitReason::kNeverFits);
  return -1;
}

// Places one waiting task of the group, or blocks the group. Returns whether `grant` was set.
bool PlaceOne(const ShardState& state, Planner* planner, int32_t group_id, size_t* work,
              Event* grant) {
  Planner::Group& group = planner->groups[group_id];
  Planner::Shape& shape = planner->shapes[group.shape];
  Planner::Team& team = planner->teams[group.team];
  if (!Fits(team.used + shape.need, team.quota.limit)) {
    BlockGroup(planner, group_id, WaitReason::kQuota);
    // A task that needs more than the whole quota waits for new settings.
    if (Fits(shape.need, team.quota.limit)) team.at_quota.push_back(group_id);
    UnblockGroupsOfShape(planner, group.shape, 1);
    return false;
  }
  if (shape.block_reason == WaitReason::kNone && !KeepsHeadroom(*planner, shape)) {
    BlockShape(planner, group.shape, WaitReason::kHeadroom);
  }
  const std::string job_id = group.jobs.begin()->second;
  Planner::Job& job = planner->jobs.at(job_id);
  int32_t host = -1;
  if (shape.block_reason == WaitReason::kNone) {
    const auto avoided = planner->avoided.empty()
                             ? planner->avoided.end()
                             : planner->avoided.find(TaskId(job_id, job.waiting.back()));
    host = ChooseHost(planner, group.shape, job,
                      avoided == planner->avoided.end() ? nullptr : &avoided->second, work);
  }
  if (host < 0) {
    BlockGroup(planner, group_id, shape.block_reason);
    shape.blocked_groups[group.rank].push_back(group_id);
    return false;
  }
  const int32_t index = job.waiting.back();
  job.waiting.pop_back();
  AfterRemoval(planner, job_id, &job);
  UnblockGroupsOfShape(planner, group.shape, 1);
  const JobSpec& spec = state.jobs.at(job_id);
  UpdateUsage(planner, spec, host, 1);
  const Task& task = state.tasks.at(TaskId(job_id, index));
  planner->reserved[task.id] = {host, job_id, index};
  *grant = TaskEvent(EventType::kGrant, task.id, task.attempt + 1);
  grant->host = planner->hosts[host].info.id;
  return true;
}

// Updates the planner for the change of one task by an applied event.
void SyncTask(const ShardState& state, Planner* planner, const Task& task, bool occupied,
              const std::string& host_before) {
  const JobSpec& spec = state.jobs.at(task.job);
  const bool occupies = OccupiesHost(task.state);
  if (occupied && !occupies) UpdateUsage(planner, spec, FindOrAddHost(planner, host_before), -1);
  if (IsTerminal(task.state)) planner->avoided.erase(task.id);
  if (occupied && task.state == TaskState::kPending) {
    AddWaiting(planner, spec, TaskIndex(task.id));
  }
  if (occupied || !occupies) return;
  const int32_t host = FindOrAddHost(planner, task.host);
  const auto reserved = planner->reserved.find(task.id);
  const bool same = reserved != planner->reserved.end() && reserved->second.host == host;
  if (reserved != planner->reserved.end()) {
    if (!same) UpdateUsage(planner, spec, reserved->second.host, -1);
    planner->reserved.erase(reserved);
  } else {
    RemoveWaiting(planner, task.job, TaskIndex(task.id));
  }
  if (!same) UpdateUsage(planner, spec, host, 1);
}

void AddJob(Planner* planner, const JobSpec& spec) {
  for (int64_t n = spec.count; n > 0; --n) {
    AddWaiting(planner, spec, static_cast<int32_t>(n - 1));
  }
}

void CancelWaiting(Planner* planner, const std::string& id) {
  const auto job = planner->jobs.find(id);
  if (job == planner->jobs.end()) return;
  job->second.waiting.clear();
  AfterRemoval(planner, id, &job->second);
}

}  // namespace

const char* WaitReasonName(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNone:
      return "none";
    case WaitReason::kNeverFits:
      return "larger than every host";
    case WaitReason::kNoCapacity:
      return "no room now";
    case WaitReason::kHeadroom:
      return "room is kept free";
    case WaitReason::kQuota:
      return "team at its quota";
    case WaitReason::kBackoff:
      return "waits after failures";
  }
  return "none";
}

Planner MakePlanner(const ShardState& state, const std::vector<PlacementHost>& hosts,
                    const PlacementSettings& settings) {
  Planner planner;
  planner.settings = settings;
  planner.max_gained = kNoCapacity;
  for (const PlacementHost& it : hosts) SetHost(&planner, it);
  for (const auto& [id, task] : state.tasks) {
    const JobSpec& spec = state.jobs.at(task.job);
    if (OccupiesHost(task.state))
      UpdateUsage(&planner, spec, FindOrAddHost(&planner, task.host), 1);
    if (task.state == TaskState::kPending) AddWaiting(&planner, spec, TaskIndex(id));
  }
  return planner;
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

void SetSettings(Planner* planner, const PlacementSettings& settings) {
  planner->settings = settings;
  for (size_t n = 0; n < planner->teams.size(); ++n) {
    Planner::Team& team = planner->teams[n];
    const auto quota = settings.quotas.find(team.name);
    team.quota = quota == settings.quotas.end() ? TeamQuota{} : quota->second;
    team.at_quota.clear();
    SetShare(planner, static_cast<int32_t>(n));
  }
  for (size_t n = 0; n < planner->groups.size(); ++n) {
    if (planner->groups[n].block_reason != WaitReason::kQuota) continue;
    planner->groups[n].block_reason = WaitReason::kNone;
    UpdateReadyQueue(planner, static_cast<int32_t>(n));
  }
  UnblockShapes(planner, &planner->headroom_shapes);
  UnblockShapes(planner, &planner->unschedulable_shapes);
}

bool Apply(ShardState* state, Planner* planner, const Event& event) {
  if (event.type == EventType::kAccept || event.type == EventType::kCancel) {
    if (!Apply(state, event)) return false;
    if (event.type == EventType::kAccept) AddJob(planner, event.spec);
    if (event.type == EventType::kCancel) CancelWaiting(planner, event.job);
    return true;
  }
  const auto it = state->tasks.find(event.task);
  if (it == state->tasks.end()) return false;
  const bool occupied = OccupiesHost(it->second.state);
  const std::string host = it->second.host;
  if (!Apply(state, event)) return false;
  SyncTask(*state, planner, it->second, occupied, host);
  return true;
}

std::vector<Event> PlaceTasks(const ShardState& state, Planner* planner, size_t limit,
                              TimePoint now) {
  CancelReservations(state, planner);
  UpdateTotals(planner);
  RequeueDelayed(state, planner, now);
  UpdateBlockedShapes(planner);
  std::vector<Event> grants;
  size_t work = kBaseWorkPerCall + std::min(limit, state.tasks.size()) * kWorkPerGrant;
  while (grants.size() < limit && work > 0 && !planner->team_order.empty()) {
    const auto& [rank, teams] = *planner->team_order.begin();
    const Planner::Team& team = planner->teams[teams.begin()->second];
    Event grant;
    if (PlaceOne(state, planner, team.ready_groups.at(rank).begin()->second, &work, &grant)) {
      grants.push_back(std::move(grant));
    } else {
      work -= std::min(work, kWorkPerBlockedGroup);
    }
  }
  return grants;
}

std::vector<Event> PlaceTasks(const ShardState& state, const std::vector<PlacementHost>& hosts,
                              size_t limit) {
  Planner planner = MakePlanner(state, hosts, {});
  return PlaceTasks(state, &planner, limit, {});
}

void AvoidHost(Planner* planner, const std::string& task, const std::string& host) {
  std::vector<int32_t>& avoided = planner->avoided[task];
  const int32_t id = FindOrAddHost(planner, host);
  if (std::find(avoided.begin(), avoided.end(), id) == avoided.end()) avoided.push_back(id);
}

void DelayTask(const ShardState& state, Planner* planner, const std::string& task,
               TimePoint until) {
  const Task& waiting = state.tasks.at(task);
  const int32_t index = TaskIndex(task);
  FindOrAddJob(planner, state.jobs.at(waiting.job)).delayed += 1;
  if (RemoveWaiting(planner, waiting.job, index)) {
    planner->delayed.insert({until, {waiting.job, index}});
    return;
  }
  planner->jobs.at(waiting.job).delayed -= 1;
  DropJobIfIdle(planner, waiting.job);
}

WaitReason WaitReasonOf(const Planner& planner, const std::string& job) {
  const auto it = planner.jobs.find(job);
  if (it == planner.jobs.end()) return WaitReason::kNone;
  if (it->second.waiting.empty()) {
    return it->second.delayed > 0 ? WaitReason::kBackoff : WaitReason::kNone;
  }
  const Planner::Group& group = planner.groups[it->second.group];
  return group.block_reason == WaitReason::kNone ? planner.shapes[group.shape].block_reason
                                                 : group.block_reason;
}

bool CanEverRun(const JobSpec& spec, const std::vector<PlacementHost>& hosts) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [&spec](const PlacementHost& it) { return Fits(spec.need, it.capacity); });
}

}  // namespace pomelopond::planning
