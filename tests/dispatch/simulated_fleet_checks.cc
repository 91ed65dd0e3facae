// What must hold in a simulated fleet after each event.
#include <algorithm>

#include "tests/dispatch/simulated_fleet.h"
#include "tests/dispatch/stored_end.h"

namespace pomelopond::dispatch {
namespace {

bool HasRun(const TaskState& task, int64_t run, const std::string& worker) {
  return std::any_of(task.runs.begin(), task.runs.end(),
                     [&](const RunLocation& it) { return it.run == run && it.worker == worker; });
}

const TaskState* TaskOf(const JobEntry& entry, const jobs::TaskId& id) {
  return FindTask(const_cast<JobEntry*>(&entry), id);
}

}  // namespace

void SimulatedFleet::Check(SimulatedOwner* owner) {
  for (const auto& [id, record] : store_.jobs) {
    const JobEntry* entry = owner->dispatcher.FindJob(id);
    if (entry != nullptr) CheckJob(*owner, *entry);
  }
  CheckWorkers(*owner);
}

void SimulatedFleet::CheckJob(const SimulatedOwner& owner, const JobEntry& entry) {
  if (entry.state == jobs::JobState::kRunning && started_jobs_.count(entry.job.id) == 0) {
    Violation("shown as running before a start: " + entry.job.id);
  }
  int64_t recorded = 0;
  for (const auto& [k, steps] : entry.open) {
    for (size_t s = 0; s < steps.size(); ++s) {
      const StepState& step = steps[s];
      int waiting = 0;
      int done = 0;
      for (size_t n = 0; n < step.tasks.size(); ++n) {
        const TaskState& task = step.tasks[n];
        done += task.progress.done ? 1 : 0;
        waiting += !task.progress.done && task.runs.empty() ? 1 : 0;
        const jobs::TaskId id{entry.job.id, k, static_cast<int>(s), static_cast<int>(n)};
        recorded += HasRecord(entry.job, id, task.progress) ? 1 : 0;
        for (const RunLocation& it : task.runs) {
          const auto worker = owner.dispatcher.workers().find(it.worker);
          if (worker == owner.dispatcher.workers().end() ||
              worker->second.runs.count({id, it.run}) == 0) {
            Violation("run is not in its worker's list: " + Text(RunId{id, it.run}));
          }
        }
      }
      if (waiting != step.waiting || done != step.done) {
        Violation("waiting or done count of " + entry.job.id + " step " + std::to_string(s));
      }
    }
  }
  if (!jobs::IsFinal(entry.state) && recorded != entry.recorded) {
    Violation("count of recorded tasks of " + entry.job.id);
  }
}

void SimulatedFleet::CheckWorkers(const SimulatedOwner& owner) {
  for (const auto& [id, worker] : owner.dispatcher.workers()) {
    Resources used;
    int64_t best_effort_cpu = 0;
    int64_t best_effort_use = 0;
    int64_t serving_cpu = 0;
    int serving = 0;
    Resources stopping;
    std::map<int, Resources> preemptible;
    for (const auto& [run_id, run] : worker.runs) {
      used = used + RunReservation(run);
      const bool stops = run.phase == RunPhase::kStopping;
      if (stops) stopping = stopping + RunReservation(run);
      Resources& of_priority = preemptible[run.priority];
      if (!stops && !run.perpetual) of_priority = of_priority + RunReservation(run);
      if (run.best_effort) best_effort_cpu += run.request.cpu_milli;
      best_effort_use += BestEffortUse(run);
      if (run.target_tail_ms > 0) serving_cpu += run.request.cpu_milli;
      serving += run.target_tail_ms > 0 ? 1 : 0;
      if (run.call_in_flight && owner.orders.count({id, run_id}) == 0) {
        Violation("call in flight without a call: " + Text(run_id));
      }
      const JobEntry* entry = owner.dispatcher.FindJob(run_id.task.job);
      if (entry == nullptr) continue;
      const TaskState* task = TaskOf(*entry, run_id.task);
      if (task != nullptr && !HasRun(*task, run_id.run, id)) {
        Violation("run is not in its task's list: " + Text(run_id));
      }
    }
    if (used != worker.used || best_effort_cpu != worker.best_effort_cpu ||
        best_effort_use != worker.best_effort_use || serving_cpu != worker.serving_cpu ||
        serving != worker.serving || stopping != worker.stopping) {
      Violation("capacity in use of " + id);
    }
    for (const auto& [priority, sum] : preemptible) {
      const auto found = worker.preemptible.find(priority);
      if (sum != (found == worker.preemptible.end() ? Resources{} : found->second)) {
        Violation("what runs of priority " + std::to_string(priority) + " reserve on " + id);
      }
    }
    if (!worker.indexed || worker.index_key != IndexKeyOf(worker)) {
      Violation("place in the index of " + id);
    }
    if (worker.heartbeat_in_flight != (owner.heartbeats.count(id) > 0)) {
      Violation("heartbeat in flight to " + id);
    }
  }
}

void SimulatedFleet::CheckDomain(const StartOrder& order) {
  const SimulatedWorker* worker = WorkerAt(order.to.endpoint);
  // Another worker may have the address by now. It refuses an order that does not name it.
  if (worker == nullptr || worker->info.id != order.to.worker) return;
  const auto since = store_.evacuated.find(worker->info.failure_domain);
  if (since == store_.evacuated.end() || now_ <= since->second + kMaxEvacuationDelay) return;
  Violation("start in an evacuated domain: " + Text(order.run) + " on " + order.to.worker);
}

// Checks a start order of the present owner.
void SimulatedFleet::CheckStart(SimulatedOwner* owner, const StartOrder& order) {
  if (owner->epoch != store_.epoch) return;
  CheckDomain(order);
  const RunId& id = order.run;
  const JobEntry* entry = owner->dispatcher.FindJob(id.task.job);
  if (entry == nullptr) return Violation("start for an unknown job: " + Text(id));
  if (jobs::IsFinal(entry->state)) Violation("start for a finished job: " + Text(id));
  const TaskState* state = TaskOf(*entry, id.task);
  if (state == nullptr || state->progress.done) {
    return Violation("start after done: " + Text(id));
  }
  if (!IsReady(*entry, id.task.occurrence, id.task.step)) {
    Violation("start before an earlier step is done: " + Text(id));
  }
  if (WallMs() < DueMs(entry->job, id.task.occurrence)) {
    Violation("start before the start time: " + Text(id));
  }
  const std::vector<WorkerInUse> in_use = DecodeWorkersInUse(store_.workers_in_use).value;
  const bool recorded = std::any_of(in_use.begin(), in_use.end(), [&order](const auto& it) {
    return it.id == order.to.worker && it.endpoint == order.to.endpoint;
  });
  if (!recorded) Violation("start on a worker that the next owner does not know: " + Text(id));
  const auto progress = store_.progress.find(id.task.job);
  if (progress == store_.progress.end()) return;
  const jobs::JobProgress durable = jobs::DecodeProgress(progress->second).value;
  if (jobs::IsFinal(durable.state) || jobs::IsDone(durable, id.task)) {
    Violation("start after done is durable: " + Text(id));
  }
}

// Checks a run that has just started on `worker`. `same_kind` is false when the owner could not
// know yet that the worker has restarted, maybe as another kind.
void SimulatedFleet::CheckExecution(const SimulatedWorker& worker, const RunId& id,
                                    bool same_kind) {
  CheckTwice(worker, id);
  CheckHistory(worker, id);
  if (!same_kind) return;
  const jobs::Step& step = worker.active.at(id).step;
  const std::string where = Text(id) + " on " + worker.info.id;
  if (!step.required_label.empty() && worker.info.labels.count(step.required_label) == 0) {
    Violation("start without the required label: " + where);
  }
  if (!Fits(UsedCapacity(worker), worker.info.capacity)) {
    Violation("start beyond the capacity: " + where);
  }
  int same_step = 0;
  for (const auto& [other, run] : worker.active) {
    same_step += other.task.job == id.task.job && other.task.occurrence == id.task.occurrence &&
                         other.task.step == id.task.step
                     ? 1
                     : 0;
  }
  if (step.max_per_worker > 0 && same_step > step.max_per_worker) {
    Violation("start beyond the limit per worker: " + where);
  }
}

// Checks a run that has just started against the ends that workers have forgotten.
void SimulatedFleet::CheckHistory(const SimulatedWorker& worker, const RunId& id) {
  const jobs::Step& step = worker.active.at(id).step;
  if (step.perpetual || step.speculative) return;
  const std::string where = Text(id) + " on " + worker.info.id;
  TaskHistory& history = histories_[id.task];
  history.last_start = now_;
  if (history.done_forgotten) Violation("task starts again after its end was forgotten: " + where);
  const auto job = store_.jobs.find(id.task.job);
  if (job == store_.jobs.end()) return;
  const auto most = static_cast<size_t>(job->second.first.rules.max_attempts);
  if (history.failed_forgotten.size() >= most) Violation("too many runs: " + where);
}

bool SimulatedFleet::IsStoredOrOver(const EndedRun& end) const {
  const jobs::TaskId& id = end.id.task;
  const auto job = store_.jobs.find(id.job);
  if (job == store_.jobs.end() || store_.cancelled.count(id.job) > 0) return true;
  const auto record = store_.progress.find(id.job);
  if (record == store_.progress.end()) return false;
  const bool gang = job->second.first.steps[static_cast<size_t>(id.step)].gang;
  return IsStored(jobs::DecodeProgress(record->second).value, end, gang);
}

// Checks ends that a worker was told to forget. What was listed before the lease ended counts for
// nothing if the task has started again since.
void SimulatedFleet::CheckForgotten(const SimulatedWorker& worker,
                                    const std::vector<EndedRun>& ends) {
  for (const EndedRun& it : ends) {
    if (it.kind != EndKind::kDone && it.kind != EndKind::kFailed) continue;
    const auto job = store_.jobs.find(it.id.task.job);
    if (job == store_.jobs.end()) continue;
    const jobs::Step& step = job->second.first.steps[static_cast<size_t>(it.id.task.step)];
    if (step.perpetual || step.speculative) continue;
    const std::string where = Text(it.id) + " on " + worker.info.id;
    if (!IsStoredOrOver(it)) Violation("an end is forgotten before it is stored: " + where);
    const TimePoint ended_at = worker.ended_at.at(it.sequence);
    if (worker.lapsed_at >= ended_at) continue;
    TaskHistory& history = histories_[it.id.task];
    if (it.kind == EndKind::kFailed) {
      history.failed_forgotten.insert(it.id.run);
      continue;
    }
    history.done_forgotten = true;
    if (history.last_start > ended_at) {
      Violation("task has started again after an end that is forgotten now: " + where);
    }
  }
}

void SimulatedFleet::CheckTwice(const SimulatedWorker& worker, const RunId& id) {
  const std::string where = Text(id) + " on " + worker.info.id;
  if (worker.active.at(id).step.speculative) return;
  int runs = 0;
  std::string others;
  for (auto& [endpoint, other] : workers_) {
    Advance(&other, now_);
    for (const auto& [run, state] : other.active) {
      if (!(run.task == id.task)) continue;
      runs += 1;
      others += " " + other.info.id + " run " + std::to_string(run.run);
    }
  }
  if (runs > 1) Violation("task runs twice: " + where + "; runs on" + others);
}

}  // namespace pomelopond::dispatch
