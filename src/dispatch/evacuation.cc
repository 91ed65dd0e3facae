#include "dispatch/evacuation.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "base/log.h"
#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"
#include "dispatch/job_wait.h"
#include "dispatch/tasks_away.h"

namespace pomelopond::dispatch {
namespace {

// Interval between rounds of moves. The runs of a round have mostly started elsewhere by the next
// one, so it sees the room that is left.
constexpr Duration kMoveInterval = std::chrono::milliseconds(200);
// Runs that one round moves. More would exceed the start orders in flight.
constexpr int kMovesPerRound = 8;
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
  worker->next_cold_start =
      now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / rate->second));
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

// Runs move only into room that no waiting task of the same or a more urgent priority wants: they
// are at work where they are.
void Dispatcher::MoveFromEvacuatedDomains(TimePoint now, int64_t wall_ms) {
  if (evacuated_domains_.empty() || starts_held_ || now < next_evacuation_move_) return;
  next_evacuation_move_ = now + kMoveInterval;
  EvacuationRound round;
  std::map<std::string, std::optional<int>> waiting;
  std::set<std::string> targets;
  std::set<std::tuple<std::string, int, int>> moved_steps;
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
      if (round.moved >= kMovesPerRound) break;
      if (urgent->second && worker.runs.at(id).priority >= *urgent->second) {
        round.behind_waiting += 1;
        continue;
      }
      MoveRun(&worker, id, &targets, &moved_steps, &round, now);
    }
  }
  evacuation_round_ = round;
}

void Dispatcher::MoveRun(WorkerState* worker, const RunId& id, std::set<std::string>* targets,
                         std::set<std::tuple<std::string, int, int>>* moved_steps,
                         EvacuationRound* round, TimePoint now) {
  JobEntry* entry = FindEntry(id.task.job);
  const TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id.task);
  if (task == nullptr || jobs::IsFinal(entry->state)) return;
  const jobs::Step& step = StepOf(*entry, id.task);
  if (step.gang) return;
  // The tasks that this round has moved still count as available.
  const std::tuple<std::string, int, int> key{id.task.job, id.task.occurrence, id.task.step};
  const bool limited =
      step.perpetual && (moved_steps->count(key) > 0 || !MayBecomeUnavailable(*entry, id.task));
  if (limited) {
    round->at_limit += 1;
    return;
  }
  PlacementRequest request = RequestOf(entry, id.task);
  request.task = task;
  const WorkerState* target = ChooseWorker(index_, request, now);
  // Room that another run of this round moves to is no longer there.
  if (target == nullptr || !targets->insert(target->info.id).second) {
    round->without_room += 1;
    return;
  }
  moved_steps->insert(key);
  round->moved += 1;
  Log(LogLevel::kInfo, "dispatch", "run_evacuated",
      {{"job", id.task.job}, {"run", id.run}, {"worker", worker->info.id}});
  RequestStop(worker, id, StopReason::kEvacuated);
}

}  // namespace pomelopond::dispatch
