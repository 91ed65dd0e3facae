// Placement of gangs: steps whose tasks start together or not at all.
#include <algorithm>
#include <utility>

#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"

namespace pomelopond::dispatch {

bool Dispatcher::IsGangWithheld(const JobEntry& entry, const StepState& step) const {
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [&](const TaskState& it) { return IsWithheld(entry, it); });
}

// Places all members of a gang at once, on one rack if `rack` is set. Starts no member when one of
// them fits no worker.
bool Dispatcher::PlaceGangMembers(JobEntry* entry, int occurrence, int step,
                                  const std::string& rack, TimePoint now, Orders* orders) {
  jobs::TaskId id{entry->job.id, occurrence, step, 0};
  StepState* state = StepStateOf(entry, id);
  // All members share one run number and one checkpoint.
  int64_t run = 0;
  const TaskState* newest = &state->tasks.front();
  for (const TaskState& it : state->tasks) {
    run = std::max(run, NextRun(it));
    if (it.progress.checkpoint_run > newest->progress.checkpoint_run) newest = &it;
  }
  const std::string checkpoint = newest->progress.checkpoint;
  std::vector<std::pair<WorkerState*, TimePoint>> chosen;  // with its `next_cold_start` before
  for (id.index = 0; id.index < static_cast<int>(state->tasks.size()); ++id.index) {
    PlacementRequest request = RequestOf(entry, id);
    request.rack = rack;
    WorkerState* worker = ChooseWorker(index_, request, now);
    if (worker == nullptr) break;
    AddRun(worker, {id, run}, *request.step, entry->job.rules.priority, now);
    Reindex(&index_, worker);
    state->tasks[static_cast<size_t>(id.index)].runs.push_back({run, worker->info.id});
    chosen.emplace_back(worker, worker->next_cold_start);
    LimitColdStarts(worker, cold_start_rates_, now);
  }
  const bool complete = chosen.size() == state->tasks.size();
  for (id.index = 0; id.index < static_cast<int>(chosen.size()); ++id.index) {
    const auto& [worker, next_cold_start] = chosen[static_cast<size_t>(id.index)];
    TaskState& task = state->tasks[static_cast<size_t>(id.index)];
    RemoveRun(worker, {id, run});
    Reindex(&index_, worker);
    task.runs.clear();
    if (!complete) worker->next_cold_start = next_cold_start;
    if (!complete) continue;
    task.progress.checkpoint = checkpoint;
    StartRun(worker, entry, {id, run}, now, orders);
  }
  return complete;
}

// Starts a gang only when all its members can be placed. A gang that prefers a single rack waits
// for one as long as its job is expected to complete on time.
void Dispatcher::PlaceGang(JobEntry* entry, int occurrence, int step, TimePoint now,
                           int64_t wall_ms, Orders* orders) {
  const jobs::TaskId first{entry->job.id, occurrence, step, 0};
  const StepState* state = StepStateOf(entry, first);
  if (state->waiting < static_cast<int>(state->tasks.size())) return;
  if (IsGangWithheld(*entry, *state)) return;
  const PlacementRequest request = RequestOf(entry, first);
  if (request.step->same_rack) {
    const std::vector<std::string> racks = RacksByFreeCapacity(workers_, request, now);
    for (const std::string& it : racks) {
      if (PlaceGangMembers(entry, occurrence, step, it, now, orders)) return;
    }
    const bool may_spread = LatenessOf(entry->estimates, *entry, wall_ms) != Lateness::kOnTime ||
                            !FitsOneRack(workers_, request);
    if (!may_spread) return RequestPermits(entry, first, now, orders);
  }
  if (PlaceGangMembers(entry, occurrence, step, {}, now, orders)) return;
  RequestPermits(entry, first, now, orders);
}

}  // namespace pomelopond::dispatch
