// The scheduling logic of a pool's owner: which task runs on which worker, which runs to stop,
// which leases to extend and what to make durable. It performs no I/O and reads no clock.
#ifndef POMELOPOND_DISPATCH_DISPATCHER_H_
#define POMELOPOND_DISPATCH_DISPATCHER_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatch/choose_worker.h"
#include "dispatch/colocation.h"
#include "dispatch/evacuation.h"
#include "dispatch/gang_sweep.h"
#include "dispatch/job_rank.h"
#include "dispatch/job_table.h"
#include "dispatch/job_wait.h"
#include "dispatch/lease_bounds.h"
#include "dispatch/pace.h"
#include "dispatch/pool_summary.h"
#include "dispatch/preemption.h"
#include "dispatch/rescue.h"
#include "dispatch/tasks_away.h"
#include "dispatch/unplaceable_requests.h"
#include "dispatch/wait_forecast.h"
#include "dispatch/waiting_counts.h"
#include "dispatch/worker_calls.h"
#include "dispatch/worker_index.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// Time until start orders are answered, as assumed by a new owner.
inline constexpr Duration kFirstAnswerTime = std::chrono::milliseconds(250);

struct DispatchLimits {
  // Duration of a lease on a worker. It is long enough for runs to survive a change of the owner.
  Duration run_lease = std::chrono::seconds(5);
  // No order extends a lease beyond this time after the last proof of ownership, so the next owner
  // knows how long a worker that it cannot reach may still run tasks.
  Duration lease_horizon = std::chrono::seconds(8);
  // Longest lease that a worker accepts; it shortens a longer one.
  Duration max_lease = lease_horizon;
  // Start orders in flight at one time. With more of them, after a takeover or in a burst, the
  // answers delay each other on an entry host with a tenth of a core. Orders that are overdue, and
  // repeated ones, don't count.
  int max_starts_in_flight = 64;
  // Permit orders in flight at one time. The policy service handles them one after the other.
  int max_permit_orders_in_flight = 2;
  // Longest time that a worker may delay its report until a run ends. All owners use the same one:
  // a new owner assumes that reports to earlier owners are delayed no longer.
  Duration report_wait = std::chrono::seconds(1);
  // Retention of finished jobs, for callers that query their state. It runs from the commit of the
  // final state: during an outage of the store no caller is told.
  Duration finished_retention = std::chrono::seconds(150);
  // Largest value that the store holds.
  int64_t max_value_bytes = 1048576;
  // Jobs of one priority with the same prospect to be on time are ordered by value and work
  // (dispatch/job_value.h); else by age.
  bool order_by_work = false;
  // The expected waits by queue are published with the waiting counts.
  bool forecast_waits = false;
  // Memory that jobs may take in any owner; 0: unknown, so that none is refused for it.
  int64_t job_memory_bytes = 0;
  // Avoid slow workers, rescue their runs, and start copies of speculative tasks.
  bool rescue_slow_runs = false;
};

// Orders that one decision produces, to be sent at once.
struct Orders {
  std::vector<HeartbeatOrder> heartbeats;
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
  std::vector<PermitOrder> permits;
};

// A change of the durable state, written atomically.
struct Commit {
  // Generation of the newest job change in this commit; see `dirty_`.
  uint64_t generation = 0;
  std::vector<std::pair<std::string, std::string>> progress;  // job id and encoded progress
  std::optional<std::string> workers_in_use;                  // encoded list; set when it changed
  std::optional<std::string> lease_bounds;    // encoded LeaseBounds; set when they changed
  std::optional<std::string> waiting_counts;  // encoded WaitingCounts; set when they changed
  // Set when it changed: jobs take more memory than they may, so that none is to be accepted.
  std::optional<bool> pool_full;
  std::vector<std::string> removed_jobs;  // ids of jobs whose records are deleted
};

// Entry of the durable list of workers in use.
struct WorkerInUse {
  std::string id;
  std::string service;
  Endpoint endpoint;
};

std::string Encode(const std::vector<WorkerInUse>& workers);
// Returns kStoreBadAnswer for malformed input.
Result<std::vector<WorkerInUse>> DecodeWorkersInUse(const std::string& bytes);

// Turn of a job in a placement. A turn for an owed run ends once the job has it (HasOwedRuns).
struct PlacementTurn {
  TurnKind kind = TurnKind::kOnTime;
  // The turn's rank in two numbers, which are faster to compare than a TurnRank.
  int64_t group = 0;      // all parts of the rank but the last one
  int64_t age_order = 0;  // the last part of the rank
  JobEntry* entry = nullptr;
  size_t position = 0;  // among all turns as collected; decides between equal ranks
};

// A placement takes the turns in order. At the limit of start orders in flight it pauses, and goes
// on as answers arrive.
struct Placement {
  TimePoint began;
  std::vector<PlacementTurn> turns;
  size_t next = 0;                       // the first turn that is not over
  size_t sorted = 0;                     // number of turns at the begin that are in order
  bool ended = false;                    // no further turn is taken
  bool limited = false;                  // it has met the limit of start orders in flight
  bool paused = false;                   // the last decision has left turns for want of time
  int64_t work = 0;                      // of the present decision, in looks at a worker
  ReservedCapacity reserved;             // by preemptions
  std::set<jobs::TaskId> preempted_for;  // tasks that wait for runs to stop
  UnplaceableRequests unplaceable;
  std::map<std::string, SpareProcessor> spare_processors;
  std::map<std::string, ImageSlowdowns> slowdowns;  // by best-effort image, as far as asked for
  // MostRoom() in the present decision, by service and priority, as far as asked for.
  std::map<std::string, std::map<int, Resources>> most_room;
};

class Dispatcher {
 public:
  // `epoch` increases with each owner. Runs of earlier owners are adopted when workers report them.
  Dispatcher(const DispatchLimits& limits, int64_t epoch, TimePoint now);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Takes effect with the next decision.
  void SetLimits(const DispatchLimits& limits) { limits_ = limits; }

  // The store confirmed at time `at` that this process is the owner.
  void OnOwnershipProof(TimePoint at);

  // True when the end of a lease counts only once a later proof of ownership arrives. Without it
  // another owner may have taken over and extended the lease.
  bool AwaitsOwnershipProof(TimePoint now) const;

  // This process was the owner at `revision` of the store or later.
  void OnProvenRevision(int64_t revision);

  // Newest store revision at which a job awaits a proof of ownership, or 0. A later owner starts
  // the tasks of all jobs that are newer than its takeover, so this owner starts tasks of a job
  // only once its ownership is proven at the revision of the job or later.
  int64_t UnprovenRevision() const;

  // Adds an accepted job. `inherited` is set when an earlier owner may have started tasks of it.
  // `revision` is the store revision of the job's record; 0 means that the record precedes this
  // owner.
  void AddJob(const jobs::Job& job, const jobs::JobProgress& progress, bool inherited,
              int64_t revision = 0);
  void CancelJob(const std::string& id, int64_t wall_ms);
  // All jobs whose records precede or have this store revision have been added.
  void OnJobsSeen(int64_t revision);

  // Adds a worker on which an earlier owner may have started tasks. `bounds` are those of the
  // previous owner.
  void InheritWorker(const WorkerInUse& worker, const LeaseBounds& bounds, TimePoint now);
  void UpdateWorker(const WorkerInfo& info, TimePoint now);
  // Marks the worker as not registered. Its tasks may still run.
  void DeregisterWorker(const std::string& id, TimePoint now);
  std::vector<std::string> RegisteredWorkers() const;

  // Replaces the set of failure domains in which no task may start. Before the first call there is
  // none.
  void SetEvacuatedDomains(const std::set<std::string>& domains, TimePoint now);
  // While starts are held, no task starts anywhere and no start order is repeated.
  void HoldStarts(bool hold) { starts_held_ = hold; }
  // Starts per second that a cold worker accepts, by service; services without a limit are absent.
  void SetColdStartRates(std::map<std::string, double> rates) {
    cold_start_rates_ = std::move(rates);
  }

  void OnReport(const HeartbeatOrder& order, const Report& report, TimePoint now, int64_t wall_ms);
  void OnStarted(const StartOrder& order, const Answer& answer, TimePoint now);
  void OnStopped(const StopOrder& order, const Answer& answer, TimePoint now);
  void OnPaced(const PaceOrder& order, const Answer& answer, TimePoint now);

  void OnPermits(const PermitOrder& order, const PermitAnswer& answer, TimePoint now);

  Orders Decide(TimePoint now, int64_t wall_ms);

  // The next commit, or nothing when the state is durable or a commit is in flight.
  std::optional<Commit> NextCommit(TimePoint now, int64_t wall_ms);
  // `revision` is that of the store with the commit; 0: not known.
  void OnCommitted(const Commit& commit, int64_t revision = 0);
  // The store will never accept the commit. What it holds is written in smaller commits, to find
  // what is at fault; a job that is at fault by itself fails.
  void OnCommitRejected(const Commit& commit, TimePoint now, int64_t wall_ms);

  // True once a worker has answered that it follows a later owner.
  bool superseded() const { return superseded_; }
  const std::map<std::string, WorkerState>& workers() const { return workers_; }
  // The last decision has left work for another one that should follow soon.
  bool HasPausedPlacement() const { return placement_.paused; }
  const JobEntry* FindJob(const std::string& id) const;
  WaitingCounts CurrentWaitingCounts(int64_t wall_ms) const;
  PoolSummary Summary(TimePoint now, int64_t wall_ms) const;
  // The waiting jobs with the highest unserved shares, the highest one first. From then on the ends
  // of their runs leave a line each, for some time.
  std::vector<JobWait> ExplainWaits(TimePoint now, int64_t wall_ms);
  // The perpetual tasks that have been away for longest, the longest time first.
  std::vector<TaskAway> ExplainTasksAway(TimePoint now);

 private:
  void MarkDirty(const std::string& job);
  // True when all changes of the job so far are durable.
  bool IsDurable(const std::string& job) const;
  void UpdatePlaceable(JobEntry* entry);

  // Runs.
  // A worker has confirmed a start of the job. Until then callers are told that the job is pending:
  // a start that was ordered may be refused or never arrive.
  void RecordStart(JobEntry* entry);
  void RecordConfirmedRun(JobEntry* entry);
  void EndRun(WorkerState* worker, const RunId& id);
  void LoseRun(WorkerState* worker, const RunId& id);
  void MarkRunsLost(WorkerState* worker, TimePoint now);
  // The worker has started again under its id.
  void HandleRestart(WorkerState* worker, TimePoint now);
  void ForgetIncarnation(WorkerState* worker, TimePoint now);
  void RequestStop(WorkerState* worker, const RunId& id, StopReason reason);
  void StopAllRuns(JobEntry* entry);
  void StopRuns(const jobs::TaskId& id);
  void Adopt(WorkerState* worker, const ActiveRun& active, TimePoint now);
  void UpdateLoads(WorkerState* worker, TimePoint now);
  void StopIfStalled(WorkerState* worker, JobEntry* entry, const RunId& id, const RunState& run,
                     TimePoint now);
  // True when no report to an earlier owner can follow one that was requested at `sent`.
  bool IsAfterEarlierReports(const WorkerState& worker, TimePoint sent) const;
  void EndExpiredStart(WorkerState* worker, const RunId& id);
  void ApplyActiveRuns(WorkerState* worker, const Report& report, TimePoint sent, TimePoint now,
                       int64_t wall_ms);
  void BeginReported(const jobs::TaskId& task, int64_t wall_ms);
  // Returns true when the end must not be acknowledged before the next commits are durable: it has
  // changed the state of its job, or changes nothing because of a state that is not durable.
  bool ApplyEnd(WorkerState* worker, const EndedRun& end, TimePoint now, int64_t wall_ms);
  void RecordFailure(JobEntry* entry, const RunId& id, int64_t wall_ms);
  void FinishTask(JobEntry* entry, const jobs::TaskId& id, int64_t wall_ms);
  void FinishJob(JobEntry* entry, jobs::JobState state, int64_t wall_ms);
  void LogWatchedRun(const WorkerState& worker, const EndedRun& end, const RunState& run,
                     TimePoint now);
  bool HandleAnswer(WorkerState* worker, const Answer& answer, TimePoint now);
  void DropPermit(const StartOrder& order);
  void RecordNoAnswer(WorkerState* worker, TimePoint now);

  // Decisions.
  // The next decision checks the lease and the heartbeat of the worker.
  void CheckSoon(const WorkerState& worker) { to_check_.insert(worker.info.id); }
  std::vector<WorkerState*> TakeWorkersToCheck(TimePoint now);
  void ExpireWorkers(std::vector<WorkerState*>* checked, TimePoint now);
  // Returns true if the worker is gone and was removed.
  bool ExpireWorker(WorkerState* worker, TimePoint now);
  // True when the next owner has nothing to learn from the worker: it holds no run, and all ends
  // that it has reported are durable with the commit of `generation`.
  bool IsEmpty(const WorkerState& worker, uint64_t generation) const;
  // True when the worker is empty and will get no run.
  bool IsUnused(const WorkerState& worker, uint64_t generation, TimePoint now) const;
  std::string EncodeWorkersInUse(uint64_t generation, TimePoint now);
  bool IsPoolFull(int64_t job_bytes) const;
  std::map<std::string, QueueForecast> UpdateForecasts(TimePoint now, int64_t wall_ms);
  void TakeDirtyJobs(Commit* commit);
  void TakePoolState(Commit* commit, TimePoint now, int64_t wall_ms);
  void RestorePoolState(const Commit& commit, TimePoint now, int64_t wall_ms);
  void FailUnstorableJob(const std::string& id, uint64_t generation, int64_t wall_ms);
  LeaseBounds CurrentLeaseBounds(uint64_t generation, TimePoint now) const;
  std::optional<std::string> NextLeaseBounds(uint64_t generation, TimePoint now);
  void ReleaseLeaseBounds();
  void LogReconciliation(TimePoint now);
  void UpdateTasksAway(TimePoint now);
  void DecideHeartbeats(const std::vector<WorkerState*>& checked, TimePoint now, Orders* orders);
  void RetryRuns(TimePoint now, Orders* orders);
  void RetryRunsOn(WorkerState* worker, TimePoint now, Orders* orders);
  bool IsAtStartLimit() const {
    return static_cast<int>(timely_starts_.size()) >= limits_.max_starts_in_flight;
  }
  void ReleaseOverdueStarts(TimePoint now);
  void RecordStartAnswer(const StartOrder& order, const Answer& answer, TimePoint now);
  void PlaceTasks(TimePoint now, int64_t wall_ms, Orders* orders);
  void BeginPlacement(TimePoint now, int64_t wall_ms);
  void ContinuePlacement(TimePoint now, int64_t wall_ms, Orders* orders);
  void PlaceGangsAtLimit(TimePoint now, int64_t wall_ms, Orders* orders);
  bool IsInPlacement(const JobEntry* entry) const;
  void EndPlacement() { placement_.ended = true; }
  bool IsInUnderusedPool(const JobEntry& entry) const;
  // `working` is the number of runs at work; it is counted only in an underused pool.
  void UpdateIdleTime(JobEntry* entry, bool underused, int working, TimePoint now, int64_t wall_ms);
  void UpdateEstimates(JobEntry* entry, TimePoint now);
  void CollectTurns(JobEntry* entry, bool underused, const RunCounts& runs, TimePoint now,
                    int64_t wall_ms);
  void PlaceJob(const PlacementTurn& turn, TimePoint now, int64_t wall_ms, Orders* orders);
  void PlaceStep(const PlacementTurn& turn, int occurrence, int step, TimePoint now,
                 int64_t wall_ms, Orders* orders);
  void RecordWanted(const PlacementTurn& turn, const jobs::Step& step, TimePoint now);
  bool PlaceTask(const PlacementTurn& turn, const jobs::TaskId& id, TimePoint now, Orders* orders);
  void AdmitOwedRun(const JobEntry& entry, TurnKind kind, TimePoint now, PlacementRequest* request);
  // False when no worker has the room for a task of the step or can make it.
  bool MayFindRoom(const JobEntry& entry, const jobs::Step& step, TimePoint now);
  PlacementRequest RequestOf(JobEntry* entry, const jobs::TaskId& id);
  void RequestPermits(JobEntry* entry, const jobs::TaskId& id, TimePoint now, Orders* orders);
  bool PreemptFor(const JobEntry& entry, const jobs::TaskId& id, const PlacementRequest& request,
                  TimePoint now);
  bool PlaceGangMembers(JobEntry* entry, int occurrence, int step, const std::string& rack,
                        int64_t* looks, TimePoint now, Orders* orders);
  bool StartGang(const PlacementRequest& request, JobEntry* entry, int occurrence, int step,
                 TimePoint now, int64_t wall_ms, Orders* orders);
  void PlaceGang(JobEntry* entry, int occurrence, int step, TimePoint now, int64_t wall_ms,
                 Orders* orders);
  void StartRun(WorkerState* worker, JobEntry* entry, const RunId& id, TimePoint now,
                Orders* orders);
  void StopStartsInEvacuatedDomains();
  // Stops runs in evacuated domains that can go on elsewhere.
  void MoveFromEvacuatedDomains(TimePoint now, int64_t wall_ms);
  void EraseEndedMoves();
  // Occupies room for the task on the worker that it moves to, until ReleaseTarget().
  void ReserveTarget(const EvacuationMove& move, TimePoint now);
  void ReleaseTarget(const EvacuationMove& move);
  // `unplaceable` are the requests that have found no worker in this round.
  void MoveRun(WorkerState* worker, const RunId& id, UnplaceableRequests* unplaceable,
               TimePoint now);
  bool IsStepMoving(const jobs::TaskId& id) const;
  std::optional<int> MostUrgentWaiting(const std::string& service, TimePoint now,
                                       int64_t wall_ms) const;
  void LogDomain(const char* event, const std::string& domain) const;
  // Slow workers (dispatch/rescue.cc).
  class RescueRoom;
  void MeasureRun(WorkerState* worker, const JobEntry& entry, const RunId& id, RunState* run,
                  int percent, bool ended, TimePoint now);
  // The run has completed.
  void MeasureEnd(WorkerState* worker, RunState* run, const RunId& id, TimePoint now);
  void UpdateWorkerSpeeds(TimePoint now);
  // Returns false when there have been too many lines.
  bool TakeRescueLine(TimePoint now);
  void RescueSlowRuns(TimePoint now, int64_t wall_ms, Orders* orders);
  std::vector<RescueCandidate> RescueCandidates(TimePoint now);
  void ReserveForPending(RescueRoom* room);
  bool IsBehindWaiting(const RescueCandidate& candidate,
                       std::map<std::string, std::optional<int>>* waiting, TimePoint now,
                       int64_t wall_ms) const;
  WorkerState* RescueTarget(const RescueCandidate& candidate, RescueRoom* room,
                            std::set<std::tuple<std::string, int, int>>* moved_steps,
                            TimePoint now);
  void LogRescue(const RescueCandidate& candidate, const WorkerState& target, TimePoint now);
  void StopSlowRun(const RescueCandidate& candidate, const WorkerState& target, TimePoint now);
  void StartCopy(const RescueCandidate& candidate, WorkerState* target, TimePoint now,
                 Orders* orders);
  void EvictFromDrainingWorkers(const std::vector<WorkerState*>& checked);
  void OrderPace(WorkerState* worker, const PaceChange& change, TimePoint now, Orders* orders);
  void StopInterference(WorkerState* worker, TimePoint now);
  void SlowDownStarts(TimePoint now, Orders* orders);
  void DecidePace(const std::vector<WorkerState*>& checked, TimePoint now, Orders* orders);
  std::optional<StartOrder> MakeStartOrder(WorkerState* worker, const RunId& id, TimePoint now);
  int64_t LeaseEndMs(WorkerState* worker, TimePoint now);
  int64_t StartLeaseEndMs(WorkerState* worker, RunState* run, TimePoint now);
  int64_t NextRun(const TaskState& task) const;
  // True when tasks of an inherited job may run on workers that have not reported yet.
  bool IsReconciled(const JobEntry& entry) const {
    return !entry.inherited || unreconciled_.empty();
  }
  // True when a run of the task may be active on a worker that has not reported yet.
  bool IsWithheld(const JobEntry& entry, const TaskState& task) const;
  bool IsGangWithheld(const JobEntry& entry, const StepState& step) const;
  int CountWithheld(const JobEntry& entry) const;
  WorkerState* FindWorker(const std::string& id);
  JobEntry* FindEntry(const std::string& id);

  DispatchLimits limits_;
  int64_t proven_revision_ = 0;
  int64_t newest_revision_ = 0;  // highest revision of the jobs
  int64_t jobs_revision_ = 0;    // of the store, up to which all jobs are known
  const int64_t epoch_;
  const TimePoint took_over_;
  TimePoint last_proof_;
  bool superseded_ = false;
  std::set<std::string> evacuated_domains_;
  bool starts_held_ = false;
  std::map<std::string, double> cold_start_rates_;  // by service
  TimePoint next_evacuation_move_{};
  EvacuationRound evacuation_round_;              // the last one
  std::vector<EvacuationMove> evacuation_moves_;  // whose runs have not ended
  SpeedModel speeds_;
  RescueState rescue_;

  std::unordered_map<std::string, JobEntry> jobs_;
  std::map<std::string, WorkerState> workers_;
  ColocationModel colocation_;
  DurationModel durations_;
  WorkModel work_;
  ForecastState forecast_;
  RoomByService rooms_;  // measured again after `rooms_valid_until_`
  TimePoint rooms_valid_until_;
  int starts_in_flight_ = 0;
  int64_t last_start_order_ = 0;
  // First start orders of runs that are in flight and not overdue: when they were sent, by number.
  std::map<int64_t, TimePoint> timely_starts_;
  // Estimated lower quartile of the time until start orders are answered.
  Duration start_answer_time_ = kFirstAnswerTime;
  int permit_orders_in_flight_ = 0;
  bool capacity_changed_ = true;  // since the last placement began
  WorkerIndex index_;             // of workers_
  Placement placement_;           // the last one
  GangSweep gang_sweep_;
  // Ids of all workers with runs whose start or stop is not confirmed, and of some others.
  std::set<std::string> unsettled_workers_;
  // Runs that are to be slowed down as soon as their start is confirmed, with their workers.
  std::vector<std::pair<std::string, RunId>> slow_starts_;
  std::vector<JobEntry*> placeable_;               // jobs with waiting tasks, in the order of ids
  std::map<std::string, TimePoint> watched_jobs_;  // whose runs leave lines, until when
  TimePoint service_checked_at_;                   // when unserved shares were last updated
  std::vector<JobEntry*> perpetual_;               // jobs with perpetual tasks that are not final
  TimePoint next_away_check_{};                    // when their `away_since` is updated
  int run_lines_left_ = 0;
  int64_t run_lines_left_out_ = 0;
  int64_t starts_ = 0;
  int64_t ends_ = 0;
  int64_t placements_ = 0;
  int64_t limited_placements_ = 0;
  int64_t answered_starts_ = 0;
  Duration start_time_{};
  std::set<std::string> unreconciled_;  // inherited workers that have not reported yet
  bool reconciliation_logged_ = false;
  std::set<std::string> to_check_;  // ids of the workers that the next decision checks at least
  TimePoint next_full_check_{};     // when a decision checks all workers
  bool workers_changed_ = false;    // the durable list of workers in use is outdated

  // Jobs with changes that are not durable, in the order of their first such change: generation and
  // job id.
  std::deque<std::pair<uint64_t, std::string>> dirty_;
  std::set<std::string> dirty_jobs_;
  uint64_t generation_ = 0;
  bool commit_in_flight_ = false;
  // Those in the commit in flight, from the front of `dirty_`.
  std::vector<std::pair<uint64_t, std::string>> jobs_in_commit_;
  // After a rejected commit: jobs at the front of `dirty_` that are written one by one.
  size_t jobs_to_isolate_ = 0;
  // After a rejected commit: what belongs to no job is written without jobs, and not before.
  bool pool_state_alone_ = false;
  TimePoint pool_state_due_;
  bool write_bounds_again_ = false;
  LeaseBounds written_bounds_;
  TimePoint lease_bounds_due_;  // when the lease bounds are compared with the written ones
  WaitingCounts written_counts_;
  std::optional<bool> written_full_;  // unset: not known what an earlier owner has written
  TimePoint counts_checked_at_;  // when the waiting counts were last compared with the written ones
  // Final jobs whose records have become durable since the last look at the pool's state.
  std::vector<std::string> stored_final_;
  // Those whose retention runs: since when callers can be told, in ms since the Unix epoch, and id.
  std::deque<std::pair<int64_t, std::string>> finished_;
  // Jobs whose records have been deleted, with the store revision of the deletion. A list of the
  // jobs that was read before it and arrives after it still holds them.
  std::map<std::string, int64_t> removed_jobs_;
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_DISPATCHER_H_
