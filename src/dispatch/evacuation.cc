#include "dispatch/evacuation.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

#include "base/log.h"
#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"
#include "dispatch/job_wait.h"
#include "dispatch/tasks_away.h"

namespace pomelopond::dispatch {
namespace {

// Interval between rounds of moves. Most runs of a round have ended by the next one.
constexpr Duration kMoveInterval = std::chrono::milliseconds(200);
// Largest number of runs that are told to move and have not ended. Their tasks start elsewhere soon
// after, and other tasks need the start orders in flight too.
constexpr size_t kMaxMoves = 8;
// A perpetual task serves once its worker reports this progress.
constexpr int kServingPercent = 100;

bool IsServingTask(const JobRun& run) {
  return IsAtWork(run) && run.run->progress.percent == kServingPercent;
}

}  // namespace

void CountEvacuationRuns(const WorkerState& worker, EvacuationRuns* runs) {
  for (const auto& [id, it] : worker.runs) {
    if (it.phase == RunPhase::kStopping) {
      runs->stopping += 1;
    } else if (it.perpetual) {
      runs->perpetual += 1;
    } else if (it.checkpoint) {
      runs->checkpointed += 1;
    } else {
      runs->others += 1;
    }
  }
}

bool MayBecomeUnavailable(const JobEntry& entry, const jobs::TaskId& id) {
  const jobs::Step& step = StepOf(entry, id);
  std::set<int> others;
  for (const JobRun& it : entry.runs) {
    const jobs::TaskId& task = it.id->task;
    const bool same_step = task.occurrence == id.occurrence && task.step == id.step;
    if (same_step && task.index != id.index && IsServingTask(it)) others.insert(task.index);
  }
  const int unavailable = step.replicas - 1 - static_cast<int>(others.size());
  return unavailable < step.max_unavailable;
}

void LimitColdStarts(WorkerState* worker, const std::map<std::string, double>& rates,
                     TimePoint now) {
  if (!IsCold(*worker, now)) return;
  const auto rate = rates.find(worker->info.service);
  if (rate == rates.end()) return;
  // A rate may be so low that the interval is out of the range of Duration.
  const std::chrono::duration<double> interval(1 / rate->second);
  const std::chrono::duration<double> cold_for = worker->cold_until - now;
  worker->next_cold_start =
      now + std::chrono::duration_cast<Duration>(std::min(interval, cold_for));
}

void Dispatcher::SetEvacuatedDomains(const std::set<std::string>& domains, TimePoint now) {
  if (domains == evacuated_domains_) return;
  const std::set<std::string> before = std::move(evacuated_domains_);
  evacuated_domains_ = domains;
  for (auto& [id, it] : workers_) it.evacuated = domains.count(it.info.failure_domain) > 0;
  for (const std::string& it : domains) {
    if (before.count(it) == 0) LogDomain("evacuation_began", it);
  }
  for (const std::string& it : before) {
    if (domains.count(it) == 0) LogDomain("evacuation_ended", it);
  }
  StopStartsInEvacuatedDomains();
  next_evacuation_move_ = now;
  capacity_changed_ = true;
}

void Dispatcher::LogDomain(const char* event, const std::string& domain) const {
  int workers = 0;
  EvacuationRuns runs;
  for (const auto& [id, it] : workers_) {
    if (it.info.failure_domain != domain) continue;
    workers += it.registered ? 1 : 0;
    CountEvacuationRuns(it, &runs);
  }
  Log(LogLevel::kInfo, "dispatch", event,
      {{"failure_domain", domain},
       {"epoch", epoch_},
       {"workers", workers},
       {"perpetual", runs.perpetual},
       {"checkpointed", runs.checkpointed},
       {"others", runs.others},
       {"stopping", runs.stopping}});
}

// A start without an answer might take effect late. Once the worker has stopped its run, it refuses
// the start.
void Dispatcher::StopStartsInEvacuatedDomains() {
  for (auto& [id, worker] : workers_) {
    if (!worker.evacuated) continue;
    for (const auto& [run_id, run] : worker.runs) {
      if (run.phase == RunPhase::kStarting) RequestStop(&worker, run_id, StopReason::kEvacuated);
    }
  }
}

// The most urgent priority of the service's jobs that wait for room, if there are any. Tasks that
// no worker could run even if it were empty don't count: they would hold up moves for good.
std::optional<int> Dispatcher::MostUrgentWaiting(const std::string& service, TimePoint now,
                                                 int64_t wall_ms) const {
  std::optional<int> most;
  for (const JobEntry* it : placeable_) {
    const jobs::QueueRules& rules = it->job.rules;
    if (rules.service != service || (most && rules.priority >= *most)) continue;
    const std::optional<jobs::TaskId> task = FirstReadyTask(*it, wall_ms);
    if (!task || !FitsEmptyWorker(workers_, service, StepOf(*it, *task), now)) continue;
    most = rules.priority;
  }
  return most;
}

void Dispatcher::EraseEndedMoves() {
  const auto has_ended = [this](const EvacuationMove& it) {
    const WorkerState* worker = FindWorker(it.from);
    return worker == nullptr || worker->runs.count(it.run) == 0;
  };
  evacuation_moves_.erase(
      std::remove_if(evacuation_moves_.begin(), evacuation_moves_.end(), has_ended),
      evacuation_moves_.end());
}

void Dispatcher::ReserveTarget(const EvacuationMove& move, TimePoint now) {
  WorkerState* target = FindWorker(move.to);
  const JobEntry* entry = FindEntry(move.run.task.job);
  if (target == nullptr || entry == nullptr || !HasStep(entry->job, move.run.task)) return;
  AddRun(target, move.run, StepOf(*entry, move.run.task), entry->job.rules.priority, now);
  Reindex(&index_, target);
}

void Dispatcher::ReleaseTarget(const EvacuationMove& move) {
  WorkerState* target = FindWorker(move.to);
  if (target == nullptr || target->runs.count(move.run) == 0) return;
  RemoveRun(target, move.run);
  Reindex(&index_, target);
}

// Runs move only into room that no waiting task of the same or a more urgent priority wants: they
// are at work where they are. During the round, moves that are not complete occupy the room that
// they were ordered for, so that no more runs are stopped than the rest of the pool can take.
void Dispatcher::MoveFromEvacuatedDomains(TimePoint now, int64_t wall_ms) {
  if (evacuated_domains_.empty() || starts_held_ || now < next_evacuation_move_) return;
  next_evacuation_move_ = now + kMoveInterval;
  EraseEndedMoves();
  for (const EvacuationMove& it : evacuation_moves_) ReserveTarget(it, now);
  evacuation_round_ = {};
  UnplaceableRequests unplaceable;
  std::map<std::string, std::optional<int>> waiting;
  for (auto& [worker_id, worker] : workers_) {
    if (!worker.evacuated || !worker.contacted || worker.unanswered_calls > 0) continue;
    std::vector<RunId> movable;
    for (const auto& [id, run] : worker.runs) {
      const bool moves = run.perpetual || run.checkpoint;
      if (moves && run.phase == RunPhase::kRunning) movable.push_back(id);
    }
    if (movable.empty()) continue;
    const auto [urgent, added] = waiting.try_emplace(worker.info.service);
    if (added) urgent->second = MostUrgentWaiting(worker.info.service, now, wall_ms);
    for (const RunId& id : movable) {
      if (evacuation_moves_.size() >= kMaxMoves) break;
      if (urgent->second && worker.runs.at(id).priority >= *urgent->second) {
        evacuation_round_.behind_waiting += 1;
        continue;
      }
      MoveRun(&worker, id, &unplaceable, now);
    }
  }
  for (const EvacuationMove& it : evacuation_moves_) ReleaseTarget(it);
}

void Dispatcher::MoveRun(WorkerState* worker, const RunId& id, UnplaceableRequests* unplaceable,
                         TimePoint now) {
  JobEntry* entry = FindEntry(id.task.job);
  const TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id.task);
  if (task == nullptr || jobs::IsFinal(entry->state)) return;
  const jobs::Step& step = StepOf(*entry, id.task);
  if (step.gang) return;
  if (step.perpetual && (IsStepMoving(id.task) || !MayBecomeUnavailable(*entry, id.task))) {
    evacuation_round_.at_limit += 1;
    return;
  }
  // Many runs of an evacuated domain want the same, and a look at all workers for each of them
  // takes long.
  const bool known = IsUnplaceable(*unplaceable, *entry, step);
  PlacementRequest request = RequestOf(entry, id.task);
  request.task = task;
  request.avoids_suspect = !step.perpetual;
  const WorkerState* target = known ? nullptr : ChooseWorker(index_, request, now);
  if (target == nullptr) {
    // Tasks of a queue that requires permits may lack only these.
    if (!entry->job.rules.needs_permits) RecordUnplaceable(unplaceable, *entry, step);
    evacuation_round_.without_room += 1;
    return;
  }
  evacuation_moves_.push_back({worker->info.id, id, target->info.id});
  ReserveTarget(evacuation_moves_.back(), now);
  evacuation_round_.moved += 1;
  Log(LogLevel::kInfo, "dispatch", "run_evacuated",
      {{"job", id.task.job}, {"run", id.run}, {"worker", worker->info.id}});
  RequestStop(worker, id, StopReason::kEvacuated);
}

// The tasks of a perpetual step move one after the other.
bool Dispatcher::IsStepMoving(const jobs::TaskId& id) const {
  return std::any_of(
      evacuation_moves_.begin(), evacuation_moves_.end(), [&id](const EvacuationMove& it) {
        const jobs::TaskId& task = it.run.task;
        return task.job == id.job && task.occurrence == id.occurrence && task.step == id.step;
      });
}

}  // namespace pomelopond::dispatch
