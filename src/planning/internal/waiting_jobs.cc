#include "planning/internal/waiting_jobs.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

#include "planning/internal/blocking.h"
#include "planning/internal/ready_queue.h"

namespace pomelopond::planning {
namespace {

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

}  // namespace

bool IsNonBatch(const JobSpec& spec) { return spec.kind != JobKind::kBatch; }

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

Planner::Job& FindOrAddJob(Planner* planner, const JobSpec& spec) {
  const auto [it, added] = planner->jobs.try_emplace(spec.id);
  if (added) {
    it->second.group = FindOrAddGroup(planner, spec);
    it->second.arrival = planner->next_arrival++;
  }
  return it->second;
}

void DropJobIfIdle(Planner* planner, const std::string& id) {
  const auto it = planner->jobs.find(id);
  if (it == planner->jobs.end()) return;
  if (it->second.waiting.empty() && it->second.delayed == 0 && it->second.racks.empty()) {
    planner->jobs.erase(it);
  }
}

void AddJob(Planner* planner, const JobSpec& spec) {
  for (int64_t n = spec.count; n > 0; --n) {
    AddWaiting(planner, spec, static_cast<int32_t>(n - 1));
  }
}

void AddWaiting(Planner* planner, const JobSpec& spec, int32_t index) {
  Planner::Job& job = FindOrAddJob(planner, spec);
  job.waiting.push_back(index);
  planner->groups[job.group].jobs.emplace(job.arrival, spec.id);
  UpdateReadyQueue(planner, job.group);
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

void CancelWaiting(Planner* planner, const std::string& id) {
  const auto job = planner->jobs.find(id);
  if (job == planner->jobs.end()) return;
  job->second.waiting.clear();
  AfterRemoval(planner, id, &job->second);
}

void AfterRemoval(Planner* planner, const std::string& id, Planner::Job* job) {
  if (!job->waiting.empty()) return;
  const int32_t group = job->group;
  planner->groups[group].jobs.erase(job->arrival);
  UpdateReadyQueue(planner, group);
  UnblockGroupsOfShape(planner, planner->groups[group].shape, 1);
  DropJobIfIdle(planner, id);
}

}  // namespace pomelopond::planning
