#include "planning/release_jobs.h"

#include <set>

namespace pomelopond::planning {
namespace {

bool HasActiveTask(const ShardState& state, const JobSpec& spec) {
  for (int64_t n = 0; n < spec.count; ++n) {
    const auto it = state.tasks.find(TaskId(spec.id, n));
    if (it != state.tasks.end() && !IsTerminal(it->second.state) && !it->second.cancelled)
      return true;
  }
  return false;
}

}  // namespace

ReleaseJobChanges CompareWithRelease(const ShardState& state, const std::vector<JobSpec>& wanted,
                                     int64_t version) {
  ReleaseJobChanges changes;
  std::set<std::string> names;
  for (const JobSpec& it : wanted) {
    names.insert(it.id);
    if (state.jobs.count(it.id) == 0) changes.accept.push_back(it);
  }
  for (const auto& [id, spec] : state.jobs) {
    if (spec.release_version == 0 || spec.release_version >= version) continue;
    if (names.count(id) != 0) continue;
    if (HasActiveTask(state, spec)) changes.cancel.push_back(id);
  }
  return changes;
}

std::vector<Event> DrainHost(const ShardState& state, const std::string& host, size_t limit) {
  std::vector<Event> stops;
  const auto tasks = state.tasks_by_host.find(host);
  if (tasks == state.tasks_by_host.end()) return stops;
  for (const std::string& it : tasks->second) {
    if (stops.size() >= limit) break;
    const Task& task = state.tasks.at(it);
    if (task.state != TaskState::kRunning) continue;
    stops.push_back(TaskEvent(EventType::kStop, task.id, task.attempt));
  }
  return stops;
}

}  // namespace pomelopond::planning
