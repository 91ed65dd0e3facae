// Processing of reports from workers.
#include <algorithm>

#include "base/log.h"
#include "dispatch/dispatcher.h"
#include "dispatch/failures.h"
#include "dispatch/worker_lease.h"
#include "jobs/job_size.h"

namespace pomelopond::dispatch {
namespace {

// Runs that the owner of epoch e starts have numbers above (e - 1) * kRunsPerEpoch, so a new owner
// needs no record of the runs that earlier owners started.
constexpr int64_t kRunsPerEpoch = 100000;

// Interval of heartbeats while the ended runs of the last report are not durable, or the worker's
// lease is bounded.
constexpr Duration kUncommittedRetry = std::chrono::milliseconds(500);

// Largest difference between the clocks of two hosts, in ms. Clocks may jump by seconds.
constexpr int64_t kMaxClockError = 60000;

// Counts the task among the recorded ones of its job if this change is the first to record it.
template <class F>
void ChangeProgress(JobEntry* entry, const jobs::TaskId& id, jobs::TaskProgress* progress,
                    F change) {
  const bool before = HasRecord(entry->job, id, *progress);
  change(progress);
  const bool after = HasRecord(entry->job, id, *progress);
  entry->recorded += (after ? 1 : 0) - (before ? 1 : 0);
}

// Starts and acknowledgements rely on connections that end with the process at their other end.
void LogOutlivedConnection(const WorkerState& worker, const Report& report) {
  const int64_t known = worker.info.incarnation;
  if (report.connection == 0 || report.connection != worker.report_connection) return;
  if (known == 0 || report.answer.incarnation <= known) return;
  Log(LogLevel::kWarn, "dispatch", "connection_outlived_restart", {{"worker", worker.info.id}});
}

void UpdateCheckpoint(JobEntry* entry, TaskState* task, const RunId& id,
                      const std::string& checkpoint) {
  if (checkpoint.empty() || task->progress.done || id.run < task->progress.checkpoint_run) return;
  // The task goes on from an earlier checkpoint or from its beginning.
  if (!StepOf(*entry, id.task).checkpoint || checkpoint.size() > jobs::kMaxCheckpointBytes) return;
  ChangeProgress(entry, id.task, &task->progress, [&](jobs::TaskProgress* progress) {
    progress->checkpoint = checkpoint;
    progress->checkpoint_run = id.run;
  });
}

}  // namespace

int64_t Dispatcher::NextRun(const TaskState& task) const {
  return std::max(task.last_run, (epoch_ - 1) * kRunsPerEpoch) + 1;
}

void Dispatcher::RecordConfirmedRun(JobEntry* entry) {
  RecordStart(entry);
  // The next placement sets it again if the runs of the job do nothing for it.
  if (entry != nullptr && IsServed(*entry)) entry->idle_since.reset();
}

void Dispatcher::RecordStart(JobEntry* entry) {
  if (entry == nullptr || entry->state != jobs::JobState::kPending) return;
  entry->state = jobs::JobState::kRunning;
  MarkDirty(entry->job.id);
}

void Dispatcher::EndRun(WorkerState* worker, const RunId& id) {
  capacity_changed_ = true;
  JobEntry* entry = FindEntry(id.task.job);
  const auto run = worker->runs.find(id);
  if (entry != nullptr && run != worker->runs.end()) ForgetRun(entry, &run->second);
  RemoveRun(worker, id);
  Reindex(&index_, worker);
  // The capacity is meant for the task that has preempted, whose turn may be over.
  if (placement_.reserved.count(worker->info.id) > 0) EndPlacement();
  TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id.task);
  if (task == nullptr) return;
  StepState* step = StepStateOf(entry, id.task);
  if (!RemoveLocation(step, task, {id.run, worker->info.id})) return;
  if (!task->runs.empty() || task->progress.done) return;
  step->waiting += 1;
  UpdatePlaceable(entry);
}

void Dispatcher::RequestStop(WorkerState* worker, const RunId& id, StopReason reason) {
  const auto it = worker->runs.find(id);
  if (it == worker->runs.end() || it->second.phase == RunPhase::kStopping) return;
  MarkStopping(worker, &it->second);
  it->second.stop_reason = reason;
  it->second.next_call = TimePoint{};
  unsettled_workers_.insert(worker->info.id);
}

void Dispatcher::StopRuns(const jobs::TaskId& id) {
  JobEntry* entry = FindEntry(id.job);
  const TaskState* task = FindTask(entry, id);
  const StopReason reason =
      StepOf(*entry, id).speculative ? StopReason::kRedundantCopy : StopReason::kJobOver;
  for (const RunLocation& it : task->runs) {
    WorkerState* worker = FindWorker(it.worker);
    if (worker != nullptr) RequestStop(worker, {id, it.run}, reason);
  }
}

void Dispatcher::StopAllRuns(JobEntry* entry) {
  for (const JobRun& it : entry->runs) {
    WorkerState* worker = FindWorker(it.worker->info.id);
    if (worker != nullptr) RequestStop(worker, *it.id, StopReason::kJobOver);
  }
}

void Dispatcher::FinishJob(JobEntry* entry, jobs::JobState state, int64_t wall_ms) {
  entry->state = state;
  entry->finished_ms = wall_ms;
  perpetual_.erase(std::remove(perpetual_.begin(), perpetual_.end(), entry), perpetual_.end());
  Log(LogLevel::kInfo, "dispatch", "job_finished",
      {{"job", entry->job.id}, {"state", jobs::JobStateName(state)}});
  StopAllRuns(entry);
  entry->open.clear();
  MarkDirty(entry->job.id);
  UpdatePlaceable(entry);
}

void Dispatcher::FinishTask(JobEntry* entry, const jobs::TaskId& id, int64_t wall_ms) {
  TaskState* task = FindTask(entry, id);
  if (task == nullptr || task->progress.done) return;
  StepState* step = StepStateOf(entry, id);
  // Progress of the job, even if the run has ended before its start was confirmed.
  entry->idle_since.reset();
  ChangeProgress(entry, id, &task->progress, [](jobs::TaskProgress* progress) {
    *progress = {};
    progress->done = true;
  });
  step->done += 1;
  entry->estimates_valid_until = TimePoint{};
  if (task->runs.empty()) step->waiting -= 1;
  StopRuns(id);
  CloseIfDone(entry, id.occurrence);
  MarkDirty(entry->job.id);
  UpdatePlaceable(entry);
  if (!jobs::IsFinal(entry->state) && IsComplete(*entry)) {
    FinishJob(entry, jobs::JobState::kCompleted, wall_ms);
  }
}

bool Dispatcher::ApplyEnd(WorkerState* worker, const EndedRun& end, TimePoint now,
                          int64_t wall_ms) {
  if (end.sequence <= worker->processed) return false;
  worker->processed = end.sequence;
  SetRefusals(worker, AfterEndedRun(worker->refusals));
  ends_ += 1;
  RecordStart(FindEntry(end.id.task.job));
  BeginReported(end.id.task, wall_ms);
  const auto run = worker->runs.find(end.id);
  const bool trial = run != worker->runs.end() && run->second.is_trial;
  const Duration took = run == worker->runs.end() ? Duration::zero() : now - run->second.ordered_at;
  if (run != worker->runs.end()) {
    LogWatchedRun(*worker, end, run->second, now);
    if (end.kind == EndKind::kDone) MeasureEnd(worker, &run->second, end.id, now);
  }
  EndRun(worker, end.id);
  JobEntry* entry = FindEntry(end.id.task.job);
  TaskState* task = entry == nullptr ? nullptr : FindTask(entry, end.id.task);
  if (end.kind == EndKind::kDone) ClearSuspicion(worker);
  StepState* state = task == nullptr ? nullptr : StepStateOf(entry, end.id.task);
  if (state != nullptr && end.kind == EndKind::kDone) state->failed_on.clear();
  // A task without state is over; its failure tells nothing that counts.
  if (end.kind == EndKind::kFailed &&
      (entry == nullptr || (state != nullptr && RecordStepFailure(state, worker->info.id, now)))) {
    CountFailure(worker, trial, now);
  }
  // The end changes nothing, perhaps because of a change that is not durable itself.
  if (task == nullptr || jobs::IsFinal(entry->state)) return !IsDurable(end.id.task.job);
  task->last_run = std::max(task->last_run, end.id.run);
  const jobs::Step& step = StepOf(*entry, end.id.task);
  UpdateCheckpoint(entry, task, end.id, end.checkpoint);
  MarkDirty(entry->job.id);
  if (end.kind == EndKind::kFailed) task->failed_on.insert(worker->info.id);
  if (step.perpetual) {
    Log(LogLevel::kInfo, "dispatch", "perpetual_run_ended",
        {{"job", end.id.task.job},
         {"step", end.id.task.step},
         {"index", end.id.task.index},
         {"run", end.id.run},
         {"worker", worker->info.id},
         {"end", EndKindName(end.kind)}});
  }
  if (step.perpetual || task->progress.done) return true;
  if (end.kind == EndKind::kFailed) RecordFailure(entry, end.id, wall_ms);
  if (end.kind != EndKind::kDone) return true;
  // A slow worker tells nothing of the duration elsewhere.
  if (took > Duration::zero() && end.id.run == task->first_run && !worker->speed.is_avoided) {
    LearnDuration(&durations_, step, Milliseconds(took));
  }
  FinishTask(entry, end.id.task, wall_ms);
  if (!step.gang) return true;
  // The end of one member's run counts for all members of the gang.
  jobs::TaskId member = end.id.task;
  for (member.index = 0; member.index < step.replicas; ++member.index) {
    FinishTask(entry, member, wall_ms);
  }
  return true;
}

// An earlier owner has begun the occurrence, and this one has not seen to it yet.
void Dispatcher::BeginReported(const jobs::TaskId& task, int64_t wall_ms) {
  JobEntry* entry = FindEntry(task.job);
  if (entry == nullptr || jobs::IsFinal(entry->state)) return;
  if (task.occurrence < entry->begun || task.occurrence >= jobs::Occurrences(entry->job)) return;
  // The clocks of hosts differ. What is due much later is no run of an earlier owner.
  if (DueMs(entry->job, task.occurrence) > wall_ms + kMaxClockError) return;
  BeginThrough(entry, task.occurrence);
  UpdatePlaceable(entry);
}

void Dispatcher::RecordFailure(JobEntry* entry, const RunId& id, int64_t wall_ms) {
  // The first member holds the failures of the whole gang.
  jobs::TaskId counted = id.task;
  if (StepOf(*entry, id.task).gang) counted.index = 0;
  jobs::TaskProgress* progress = &FindTask(entry, counted)->progress;
  const std::vector<int64_t>& failed = progress->failed_runs;
  if (std::find(failed.begin(), failed.end(), id.run) != failed.end()) return;
  ChangeProgress(entry, counted, progress,
                 [&id](jobs::TaskProgress* it) { it->failed_runs.push_back(id.run); });
  if (static_cast<int>(failed.size()) >= entry->job.rules.max_attempts) {
    FinishJob(entry, jobs::JobState::kFailed, wall_ms);
  }
}

void Dispatcher::Adopt(WorkerState* worker, const ActiveRun& active, TimePoint now) {
  JobEntry* entry = FindEntry(active.id.task.job);
  TaskState* task = entry == nullptr ? nullptr : FindTask(entry, active.id.task);
  // A run of a task that is over takes room as well until it is stopped.
  const jobs::Step unknown;
  const bool has_step = entry != nullptr && HasStep(entry->job, active.id.task);
  const jobs::Step& step = has_step ? StepOf(*entry, active.id.task) : unknown;
  AddRun(worker, active.id, step, entry == nullptr ? 0 : entry->job.rules.priority, now);
  Reindex(&index_, worker);
  const auto added = worker->runs.find(active.id);
  RunState& run = added->second;
  run.confirmed_at = now;
  run.progress.resumes = true;
  MarkStarted(&run, now);
  run.phase = RunPhase::kRunning;
  run.pace = step.best_effort ? -1 : 100;
  const bool wanted = task != nullptr && !jobs::IsFinal(entry->state) && !task->progress.done &&
                      active.id.run <= (epoch_ - 1) * kRunsPerEpoch &&
                      (task->runs.empty() || step.speculative);
  Log(LogLevel::kInfo, "dispatch", wanted ? "run_adopted" : "run_unwanted",
      {{"job", active.id.task.job},
       {"step", active.id.task.step},
       {"index", active.id.task.index},
       {"run", active.id.run},
       {"worker", worker->info.id}});
  if (task != nullptr) {
    StepState* state = StepStateOf(entry, active.id.task);
    if (task->runs.empty() && !task->progress.done) state->waiting -= 1;
    AddLocation(state, task, {active.id.run, worker->info.id});
    entry->runs.push_back({&added->first, &run, worker});
    task->last_run = std::max(task->last_run, active.id.run);
    UpdatePlaceable(entry);
  }
  if (!wanted) RequestStop(worker, active.id, StopReason::kUnwanted);
}

void Dispatcher::UpdateLoads(WorkerState* worker, TimePoint now) {
  worker->tails.valid = false;
  const planning::BatchLoad before = std::move(worker->best_effort_load);
  worker->best_effort_load.clear();
  for (const auto& [id, it] : worker->runs) {
    if (it.best_effort && it.load > 0)
      worker->best_effort_load[it.image] += static_cast<double>(it.load) / 1000;
  }
  worker->has_new_report = true;
  if (worker->serving == 0) return;
  if (before.empty() && worker->best_effort_load.empty()) {
    for (const SpeedSample& it : TailSpeeds(colocation_, *worker, now)) {
      AddSample(&worker->speed, it);
    }
  }
  LearnInterference(&colocation_, *worker, before, now);
}

// Stops a run that gets nowhere, so that its task goes on elsewhere from its checkpoint.
void Dispatcher::StopIfStalled(WorkerState* worker, JobEntry* entry, const RunId& id,
                               const RunState& run, TimePoint now) {
  const jobs::Step& step = StepOf(*entry, id.task);
  if (!IsStalled(run, step, ExpectedMs(durations_, step))) return;
  Log(LogLevel::kInfo, "dispatch", "run_stalled",
      {{"job", id.task.job}, {"run", id.run}, {"worker", worker->info.id}, {"pace", run.pace}});
  RequestStop(worker, id, StopReason::kStalled);
  // Best-effort runs also stall for want of processor time, which is no fault of the worker.
  if (run.best_effort) return;
  FindTask(entry, id.task)->failed_on.insert(worker->info.id);
  if (RecordStepFailure(StepStateOf(entry, id.task), worker->info.id, now)) {
    CountFailure(worker, run.is_trial, now);
  }
}

// A worker answers a call of an earlier owner that it took before this owner's first one when a run
// ends, or after the longest report wait.
bool Dispatcher::IsAfterEarlierReports(const WorkerState& worker, TimePoint sent) const {
  const auto wait = std::chrono::duration_cast<Duration>(limits_.report_wait / kMinClockRate);
  return sent >= worker.contacted_at + wait + kTimerSlack;
}

void Dispatcher::ApplyActiveRuns(WorkerState* worker, const Report& report, TimePoint sent,
                                 TimePoint now, int64_t wall_ms) {
  const Duration covered = std::min<Duration>(now - worker->reported_at, limits_.report_wait);
  worker->reported_at = now;
  worker->reports += 1;
  for (const ActiveRun& it : report.active) {
    auto place = worker->runs.find(it.id);
    if (place == worker->runs.end()) {
      BeginReported(it.id.task, wall_ms);
      Adopt(worker, it, now);
      place = worker->runs.find(it.id);
    }
    RunState& run = place->second;
    run.listed_in = worker->reports;
    run.incarnation_known = true;
    JobEntry* entry = FindEntry(it.id.task.job);
    if (run.phase == RunPhase::kStarting) {
      run.phase = RunPhase::kRunning;
      run.confirmed_at = now;
    }
    MarkStarted(&run, now);
    RecordConfirmedRun(entry);
    UpdateProgress(&run, it.percent, covered, now);
    RecordLoad(worker, &run, it.load);
    TaskState* task = entry == nullptr ? nullptr : FindTask(entry, it.id.task);
    if (task == nullptr) continue;
    MeasureRun(worker, *entry, it.id, &run, it.percent, false, now);
    UpdateCheckpoint(entry, task, it.id, it.checkpoint);
    StopIfStalled(worker, entry, it.id, run, now);
    const bool wanted = run.phase == RunPhase::kRunning && run.perpetual;
    task->adopted = task->adopted || (wanted && IsAfterEarlierReports(*worker, sent));
  }
  UpdateLoads(worker, now);
  if (report.is_cut) return;
  // A run that was confirmed before the report was requested and is in neither list has ended.
  std::vector<RunId> missing;
  std::vector<RunId> expired;
  for (const auto& [id, it] : worker->runs) {
    if (it.listed_in == worker->reports) continue;
    const bool settled = it.phase == RunPhase::kRunning || it.stop_confirmed;
    if (IsStartExpired(it, report.answer.clock_ms)) {
      expired.push_back(id);
    } else if (settled && it.confirmed_at < sent) {
      missing.push_back(id);
    }
  }
  for (const RunId& it : expired) EndExpiredStart(worker, it);
  for (const RunId& it : missing) {
    Log(LogLevel::kInfo, "dispatch", "run_missing",
        {{"job", it.task.job}, {"run", it.run}, {"worker", worker->info.id}});
    EndRun(worker, it);
  }
}

// The next start of the task prefers other workers.
void Dispatcher::EndExpiredStart(WorkerState* worker, const RunId& id) {
  Log(LogLevel::kInfo, "dispatch", "start_expired",
      {{"job", id.task.job}, {"run", id.run}, {"worker", worker->info.id}});
  JobEntry* entry = FindEntry(id.task.job);
  TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id.task);
  if (task != nullptr) task->failed_on.insert(worker->info.id);
  EndRun(worker, id);
}

void Dispatcher::OnReport(const HeartbeatOrder& order, const Report& report, TimePoint now,
                          int64_t wall_ms) {
  WorkerState* worker = FindWorker(order.to.worker);
  if (worker == nullptr) return;
  CheckSoon(*worker);
  worker->heartbeat_in_flight = false;
  worker->next_heartbeat = now + kHeartbeatRetry;
  if (worker->info.endpoint != order.to.endpoint) return;
  const OrderStatus status = report.answer.status;
  if (status == OrderStatus::kUnreachable || status == OrderStatus::kNoAnswer) {
    worker->unanswered_heartbeats += 1;
  }
  LogOutlivedConnection(*worker, report);
  if (!HandleAnswer(worker, report.answer, now)) return;
  if (report.answer.status != OrderStatus::kAccepted) return;
  RecordClock(worker, report.answer, now);
  if (!worker->contacted) {
    Log(LogLevel::kInfo, "dispatch", "worker_contacted",
        {{"worker", worker->info.id},
         {"active", report.active.size()},
         {"ended", report.ended.size()}});
  }
  capacity_changed_ = capacity_changed_ || !worker->contacted;
  if (!worker->contacted) worker->contacted_at = now;
  worker->contacted = true;
  worker->report_connection = report.connection;
  worker->may_have_restarted = false;
  // A cut report may leave out ended runs of tasks that would be started again.
  if (!report.is_cut && unreconciled_.erase(worker->info.id) > 0) capacity_changed_ = true;
  const bool all_durable = worker->processed == worker->acknowledged;
  bool changed = false;
  for (const EndedRun& it : report.ended) changed = ApplyEnd(worker, it, now, wall_ms) || changed;
  ApplyActiveRuns(worker, report, worker->heartbeat_sent_at, now, wall_ms);
  if (changed) worker->generation = generation_;
  // Ended runs that the durable state needs no change for are acknowledged at once.
  if (!changed && all_durable) worker->acknowledged = worker->processed;
  const bool settled = worker->processed == worker->acknowledged && !worker->lease_bounded;
  worker->next_heartbeat = settled ? now : now + kUncommittedRetry;
}

}  // namespace pomelopond::dispatch
