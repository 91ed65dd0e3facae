// Placement of one task: what it asks of a worker, preemption, permits, and the start.
#include <algorithm>
#include <limits>

#include "base/log.h"
#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"
#include "dispatch/failures.h"

namespace pomelopond::dispatch {
namespace {

// Highest reported ratio of a tail to its target beside which a job that has no run gets one. At
// kLowPace it adds little to the tail, while the runs beside it are slowed down.
constexpr double kMaxSlowStartTailRatio = 1.2;
// Number of workers in a permit order, unless many tasks wait.
constexpr size_t kDefaultPermitWorkers = 30;

}  // namespace

bool Dispatcher::PlaceTask(const PlacementTurn& turn, const jobs::TaskId& id, TimePoint now,
                           Orders* orders) {
  JobEntry* entry = turn.entry;
  const TaskState* task = FindTask(entry, id);
  if (!entry->job.rules.needs_permits && !MayFindRoom(*entry, StepOf(*entry, id), now)) {
    return false;
  }
  PlacementRequest request = RequestOf(entry, id);
  request.task = task;
  request.looks = &placement_.work;
  if (IsOwed(turn.kind)) AdmitOwedRun(*entry, turn.kind, now, &request);
  WorkerState* worker = ChooseWorker(index_, request, now);
  if (worker == nullptr) {
    RequestPermits(entry, id, now, orders);
    return !IsOwed(turn.kind) && PreemptFor(*entry, id, request, now);
  }
  const RunId run{id, NextRun(*task)};
  if (IsOwed(turn.kind) && HasLongTail(colocation_, *worker)) {
    slow_starts_.emplace_back(worker->info.id, run);
    worker->slow_starts += 1;
  }
  if (request.step->best_effort) {
    placement_.spare_processors[request.service].in_use += request.step->request.cpu_milli;
  }
  StartRun(worker, entry, run, now, orders);
  return true;
}

// An owed run is admitted where a further run of a late job is not. First runs share processor time
// also while jobs on time wait for it: these wait for long under a high load, and late jobs would
// get nothing all the while. Second runs share it only while none waits, else they would take all
// that becomes free. A successor takes the place of a run that ends soon, so it shares it as long
// as the runs use less than they have requested, unless a job is left without a run: where tails
// bound the number of runs, a successor would take the place of a first one.
void Dispatcher::AdmitOwedRun(const JobEntry& entry, TurnKind kind, TimePoint now,
                              PlacementRequest* request) {
  const SpareProcessor& spare = placement_.spare_processors[request->service];
  const bool unused =
      !spare.short_of_first_runs && HasUnusedProcessor(spare, request->step->request.cpu_milli);
  request->shares_processor =
      kind == TurnKind::kFirstRun || !spare.wanted || (kind == TurnKind::kSuccessor && unused);
  request->max_expected_tail = kMaxOwedTailRatio;
  request->max_tail = 1;
  // In the end only reported tails count. Otherwise an image that is expected to exceed the targets
  // on all workers would wait forever. Where it does exceed them, it is slowed down.
  if (!IsIdleForLong(entry, now) || !entry.runs.empty()) return;
  request->max_expected_tail = std::numeric_limits<double>::infinity();
  request->max_tail = kMaxSlowStartTailRatio;
}

bool Dispatcher::MayFindRoom(const JobEntry& entry, const jobs::Step& step, TimePoint now) {
  const jobs::QueueRules& rules = entry.job.rules;
  const auto [it, added] = placement_.most_room[rules.service].try_emplace(rules.priority);
  if (added) it->second = MostRoom(workers_, rules.service, rules.priority, now);
  return Fits(StepReservation(step), it->second);
}

PlacementRequest Dispatcher::RequestOf(JobEntry* entry, const jobs::TaskId& id) {
  PlacementRequest request;
  request.service = entry->job.rules.service;
  request.step = &StepOf(*entry, id);
  request.state = StepStateOf(entry, id);
  request.colocation = &colocation_;
  const TaskState* task = FindTask(entry, id);
  const auto failed = static_cast<int>(task->progress.failed_runs.size());
  request.attempts_left = entry->job.rules.max_attempts - failed;
  if (request.step->best_effort) {
    const auto [it, added] = placement_.slowdowns.try_emplace(request.step->image);
    if (added) it->second = SlowdownsBy(colocation_, request.step->image);
    request.slowdowns = &it->second;
  }
  if (entry->job.rules.needs_permits) request.permits = &request.state->permits;
  return request;
}

void Dispatcher::RequestPermits(JobEntry* entry, const jobs::TaskId& id, TimePoint now,
                                Orders* orders) {
  StepState* state = StepStateOf(entry, id);
  StepPermits& permits = state->permits;
  if (!entry->job.rules.needs_permits || permits.call_in_flight || now < permits.next_call) return;
  if (permit_orders_in_flight_ >= limits_.max_permit_orders_in_flight) return;
  // The order names more workers than there are tasks, since some workers will be denied and some
  // will be full by the time of the answer.
  const size_t most =
      std::min(kMaxWorkersInPermitOrder,
               std::max(kDefaultPermitWorkers, 2 * static_cast<size_t>(state->waiting)));
  PermitOrder order;
  order.step = {entry->job.id, id.occurrence, id.step};
  order.workers = PermitCandidates(workers_, RequestOf(entry, id), most, now);
  if (order.workers.empty()) return;
  permits.call_in_flight = true;
  permit_orders_in_flight_ += 1;
  orders->permits.push_back(std::move(order));
}

void Dispatcher::OnPermits(const PermitOrder& order, const PermitAnswer& answer, TimePoint now) {
  permit_orders_in_flight_ -= 1;
  capacity_changed_ = true;
  Log(LogLevel::kInfo, "dispatch", "permits",
      {{"job", order.step.job},
       {"step", order.step.step},
       {"asked", order.workers.size()},
       {"granted", answer.granted.size()},
       {"ok", answer.ok}});
  JobEntry* entry = FindEntry(order.step.job);
  if (entry == nullptr) return;
  StepState* state =
      StepStateOf(entry, {order.step.job, order.step.occurrence, order.step.step, 0});
  if (state != nullptr) ApplyPermits(&state->permits, order, answer, now);
}

// Returns true when capacity is being freed, so that the next task of the step may request
// preemption as well.
bool Dispatcher::PreemptFor(const JobEntry& entry, const jobs::TaskId& id,
                            const PlacementRequest& request, TimePoint now) {
  if (request.step->best_effort) return false;
  if (placement_.preempted_for.count(id) > 0) return true;
  placement_.work += static_cast<int64_t>(workers_.size());
  const std::optional<Preemption> choice =
      ChoosePreemption(workers_, request, entry.job.rules.priority, &placement_.reserved, now);
  if (!choice) return false;
  placement_.preempted_for.insert(id);
  for (const RunId& it : choice->victims) {
    Log(LogLevel::kInfo, "dispatch", "run_preempted",
        {{"job", it.task.job}, {"run", it.run}, {"worker", choice->worker}, {"for", entry.job.id}});
    RequestStop(&workers_[choice->worker], it, StopReason::kPreempted);
  }
  return true;
}

void Dispatcher::StartRun(WorkerState* worker, JobEntry* entry, const RunId& id, TimePoint now,
                          Orders* orders) {
  TaskState* task = FindTask(entry, id.task);
  AddRun(worker, id, StepOf(*entry, id.task), entry->job.rules.priority, now);
  Reindex(&index_, worker);
  unsettled_workers_.insert(worker->info.id);
  StepState* state = StepStateOf(entry, id.task);
  if (task->runs.empty()) state->waiting -= 1;
  AddLocation(state, task, {id.run, worker->info.id});
  const auto added = worker->runs.find(id);
  entry->runs.push_back({&added->first, &added->second, worker});
  if (task->first_run == 0) task->first_run = id.run;
  task->last_run = id.run;
  UpdatePlaceable(entry);
  const jobs::Step& step = StepOf(*entry, id.task);
  RecordStartedWork(&forecast_, entry->job.rules, TasksWorkMs(durations_, step, 1));
  RunProgress& progress = worker->runs.at(id).progress;
  progress.resumes = !task->progress.checkpoint.empty();
  progress.expected_time =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
          ExpectedMs(durations_, step) / ExpectedSpeed(worker->speed)));
  RecordStartOnSlowWorker(&worker->speed, now);
  const bool trial = RecordTrial(worker, &worker->runs.at(id), limits_.rescue_slow_runs, now);
  if (trial && TakeRescueLine(now)) {
    Log(LogLevel::kInfo, "dispatch", "worker_trial",
        {{"worker", worker->info.id},
         {"failures", worker->failures},
         {"job", id.task.job},
         {"run", id.run}});
  }
  const std::optional<StartOrder> order = MakeStartOrder(worker, id, now);
  if (!order) return EndRun(worker, id);
  LimitColdStarts(worker, cold_start_rates_, now);
  worker->runs[id].call_in_flight = true;
  starts_in_flight_ += 1;
  starts_ += 1;
  orders->starts.push_back(*order);
}

}  // namespace pomelopond::dispatch
