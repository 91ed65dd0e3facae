// Placement of gangs: steps whose tasks start together or not at all.
#include <algorithm>
#include <utility>

#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"
#include "dispatch/gang_room.h"

namespace pomelopond::dispatch {

bool Dispatcher::IsGangWithheld(const JobEntry& entry, const StepState& step) const {
  if (IsReconciled(entry)) return false;
  return std::any_of(step.tasks.begin(), step.tasks.end(),
                     [&](const TaskState& it) { return IsWithheld(entry, it); });
}

// Places all members of a gang at once, on one rack if `rack` is set. Starts no member when one of
// them fits no worker.
bool Dispatcher::PlaceGangMembers(JobEntry* entry, int occurrence, int step,
                                  const std::string& rack, int64_t* looks, TimePoint now,
                                  Orders* orders) {
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
  PlacementRequest request = RequestOf(entry, id);
  request.rack = rack;
  request.looks = looks;
  MemberPlaces places(index_, request, now);
  std::vector<std::pair<WorkerState*, TimePoint>> chosen;  // with its `next_cold_start` before
  for (id.index = 0; id.index < static_cast<int>(state->tasks.size()); ++id.index) {
    WorkerState* worker = places.Next();
    if (worker == nullptr) break;
    AddRun(worker, {id, run}, *request.step, entry->job.rules.priority, now);
    AddLocation(state, &state->tasks[static_cast<size_t>(id.index)], {run, worker->info.id});
    chosen.emplace_back(worker, worker->next_cold_start);
    LimitColdStarts(worker, cold_start_rates_, now);
  }
  const bool complete = chosen.size() == state->tasks.size();
  for (id.index = 0; id.index < static_cast<int>(chosen.size()); ++id.index) {
    const auto& [worker, next_cold_start] = chosen[static_cast<size_t>(id.index)];
    TaskState& task = state->tasks[static_cast<size_t>(id.index)];
    RemoveRun(worker, {id, run});
    RemoveLocation(state, &task, {run, worker->info.id});
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
  StepState* state = StepStateOf(entry, first);
  const auto members = static_cast<int64_t>(state->tasks.size());
  if (state->waiting < members || IsGangWithheld(*entry, *state)) return;
  if (!TakeTurn(&gang_sweep_, state)) return;
  int64_t looks = 0;
  PlacementRequest request = RequestOf(entry, first);
  request.looks = &looks;
  if (!StartGang(request, entry, occurrence, step, now, wall_ms, orders)) {
    RequestPermits(entry, first, now, orders);
  }
  gang_sweep_.looks_left -= looks;
}

bool Dispatcher::StartGang(const PlacementRequest& request, JobEntry* entry, int occurrence,
                           int step, TimePoint now, int64_t wall_ms, Orders* orders) {
  const int64_t members = request.step->replicas;
  const auto start = [&](const std::string& rack) {
    return PlaceGangMembers(entry, occurrence, step, rack, request.looks, now, orders);
  };
  if (request.step->same_rack) {
    for (const std::string& it : RacksForGang(index_, request, members, now)) {
      if (start(it)) return true;
    }
    const bool may_spread = LatenessOf(entry->estimates, *entry, wall_ms) != Lateness::kOnTime ||
                            !FitsOneRack(workers_, request);
    if (!may_spread) return false;
  }
  return MayHoldGang(index_, request, members, now) && start({});
}

}  // namespace pomelopond::dispatch
