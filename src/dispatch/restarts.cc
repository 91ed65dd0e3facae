// Workers that start again, and runs that are lost with their worker.
#include <algorithm>

#include "base/log.h"
#include "dispatch/dispatcher.h"
#include "dispatch/worker_lease.h"

namespace pomelopond::dispatch {
namespace {

// True when a start order for the run may still be carried out, as it has no answer.
bool MayStillStart(const RunState& run) {
  return run.outcome_unknown || (run.call_in_flight && run.confirmed_at == TimePoint{});
}

}  // namespace

void Dispatcher::LoseRun(WorkerState* worker, const RunId& id) {
  Log(LogLevel::kInfo, "dispatch", "run_lost",
      {{"job", id.task.job}, {"run", id.run}, {"worker", worker->info.id}});
  EndRun(worker, id);
  JobEntry* entry = FindEntry(id.task.job);
  TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id.task);
  // An earlier owner may notice the loss as well, and start the task on a worker that obeys it.
  if (task != nullptr) task->adopted = false;
}

void Dispatcher::MarkRunsLost(WorkerState* worker, TimePoint now) {
  std::vector<RunId> lost;
  for (const auto& [id, it] : worker->runs) lost.push_back(id);
  for (const RunId& it : lost) LoseRun(worker, it);
  ForgetIncarnation(worker, now);
}

// Only the runs that the earlier incarnation is known to have started are lost. Any other confirmed
// start may have been carried out by either incarnation, which the next report tells. A start
// without an answer may still be carried out by the new one, so its run ends once that has stopped
// it.
void Dispatcher::HandleRestart(WorkerState* worker, TimePoint now) {
  std::vector<RunId> lost;
  for (auto& [id, it] : worker->runs) {
    if (it.incarnation_known && !MayStillStart(it)) lost.push_back(id);
    it.incarnation_known = false;
    it.stop_confirmed = false;
  }
  for (const RunId& it : lost) LoseRun(worker, it);
  ForgetIncarnation(worker, now);
  if (now < worker->inherited_until) {
    // The new incarnation has forgotten the epoch of this owner, so it obeys an earlier one as
    // well.
    unreconciled_.insert(worker->info.id);
    worker->lease_ends = std::max(worker->lease_ends, worker->inherited_until);
  }
  if (worker->runs.empty()) return;
  unsettled_workers_.insert(worker->info.id);
  // The end of the lease in the order is a time on the clock of the earlier incarnation, so on the
  // new one only the worker's own maximum bounds the lease.
  worker->lease_ends = std::max(worker->lease_ends, now + LongestLease(limits_));
  for (auto& [id, it] : worker->runs) {
    // Each incarnation begins a run at the full share.
    if (it.best_effort) it.pace = -1;
    if (!MayStillStart(it)) continue;
    it.start_lease_end_ms = kUnknownStartLease;
    MarkStopping(worker, &it);
    it.next_call = TimePoint{};
  }
}

void Dispatcher::ForgetIncarnation(WorkerState* worker, TimePoint now) {
  worker->processed = 0;
  worker->acknowledged = 0;
  worker->contacted = false;
  worker->clock_ms = 0;
  SetRefusals(worker, {});
  worker->speed = {};
  worker->next_heartbeat = now;
  // A worker that has not answered this owner yet may get new runs from an earlier owner.
  if (unreconciled_.count(worker->info.id) == 0) {
    worker->lease_ends = std::min(worker->lease_ends, now);
  }
}

}  // namespace pomelopond::dispatch
