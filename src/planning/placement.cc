#include "planning/placement.h"

#include <algorithm>

#include "planning/internal/blocking.h"
#include "planning/internal/host_choice.h"
#include "planning/internal/host_table.h"
#include "planning/internal/ready_queue.h"
#include "planning/internal/waiting_jobs.h"

namespace pomelopond::planning {
namespace {

// Bound of the work of one call, in visited index nodes. The remaining work is done in the next
// call.
constexpr size_t kBaseWorkPerCall = 3072;
constexpr size_t kWorkPerGrant = 1024;
constexpr size_t kWorkPerBlockedGroup = 32;  // cost of blocking a group

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
