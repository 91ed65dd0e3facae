// Decides what the owner of a pool does: which task runs where, which runs must stop, which leases
// are extended, and what must become durable. It does no I/O and reads no clock.
#ifndef POMELOPOND_DISPATCH_DISPATCHER_H_
#define POMELOPOND_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatch/choose_worker.h"
#include "dispatch/colocation.h"
#include "dispatch/job_rank.h"
#include "dispatch/job_table.h"
#include "dispatch/preemption.h"
#include "dispatch/unplaceable_requests.h"
#include "dispatch/worker_calls.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

struct DispatchLimits {
  // Leases on workers are this long, so that tasks survive a change of the owner.
  Duration run_lease = std::chrono::seconds(5);
  // No order's lease ends later than this after the last proof of ownership, so that the next owner
  // knows how long a worker that it cannot reach may still run tasks.
  Duration lease_horizon = std::chrono::seconds(8);
  // Starts that wait for an answer at one time. More of them, after a takeover or a burst, would
  // answer each other late on an entry host with a tenth of a core.
  int max_starts_in_flight = 64;
  // Orders to the policy service that wait for an answer at one time. It handles them in turn.
  int max_permit_orders_in_flight = 2;
  // How long a report may wait at the worker for an end.
  Duration report_wait = std::chrono::seconds(1);
  // Finished jobs are kept this long for callers who ask for their state.
  Duration finished_retention = std::chrono::seconds(150);
};

// Orders to send now.
struct Orders {
  std::vector<HeartbeatOrder> heartbeats;
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PaceOrder> paces;
  std::vector<PermitOrder> permits;
};

// A change of the durable state, written as a whole or not at all.
struct Commit {
  uint64_t generation = 0;
  std::vector<std::pair<std::string, std::string>> progress;  // job id, encoded progress
  std::optional<std::string> workers_in_use;                  // encoded list, when it changed
  std::optional<std::string> waiting_counts;  // encoded counts by queue, when they changed
  std::vector<std::string> removed_jobs;      // ids of jobs whose records are removed
};

// A worker as it stands in the durable list of workers in use.
struct WorkerInUse {
  std::string id;
  std::string service;
  Endpoint endpoint;
};

std::string Encode(const std::vector<WorkerInUse>& workers);
// Fails with kStoreBadAnswer.
Result<std::vector<WorkerInUse>> DecodeWorkersInUse(const std::string& bytes);

std::string EncodeWaiting(const std::map<std::string, int>& counts);
Result<std::map<std::string, int>> DecodeWaiting(const std::string& bytes);

// The pool at one moment, for logs and metrics.
struct PoolSummary {
  int jobs = 0;           // not finished
  int waiting_tasks = 0;  // ready or not, without a run
  int runs = 0;
  int workers = 0;                   // that take tasks
  int unresponsive_workers = 0;      // that did not answer the last call
  int serving_workers = 0;           // with tasks that serve users
  int64_t reserved_cpu = 0;          // thousandths of a core
  int64_t best_effort_cpu = 0;       // requested by filling tasks
  int64_t best_effort_used_cpu = 0;  // used by them, as last reported
  int paced_runs = 0;                // filling tasks that get less than their full share
  int high_tail_workers = 0;         // with tails that keep further filling tasks away
  // Neither reserved nor asked for by filling tasks, on workers that take tasks.
  int64_t free_cpu = 0;
};

class Dispatcher {
 public:
  // `epoch` rises with each owner. Runs of earlier owners are adopted as workers report them.
  Dispatcher(const DispatchLimits& limits, int64_t epoch, TimePoint now);

  // Takes effect with the next decision.
  void SetLimits(const DispatchLimits& limits) { limits_ = limits; }

  // `at` is a time at which the store still said that this process is the owner.
  void OnOwnershipProof(TimePoint at);

  // This process was still the owner at `revision` of the store, or later.
  void OnProvenRevision(int64_t revision);

  // The newest revision that a job waits to be proven for, or 0. A later owner takes jobs that are
  // newer than its takeover for its own, so their tasks start only after a proof of that age.
  int64_t UnprovenRevision() const;

  // A job that was accepted; `inherited` when an earlier owner may have started its tasks.
  // `revision` is that of its record in the store; 0: it precedes this owner.
  void AddJob(const jobs::Job& job, const jobs::JobProgress& progress, bool inherited,
              int64_t revision = 0);
  void CancelJob(const std::string& id, int64_t wall_ms);

  // An earlier owner may have tasks on this worker.
  void InheritWorker(const WorkerInUse& worker, TimePoint now);
  void UpdateWorker(const WorkerInfo& info, TimePoint now);
  // The worker is not registered any more. It may still run tasks.
  void DeregisterWorker(const std::string& id, TimePoint now);
  std::vector<std::string> RegisteredWorkers() const;

  void OnReport(const HeartbeatOrder& order, const Report& report, TimePoint now, int64_t wall_ms);
  void OnStarted(const StartOrder& order, const Answer& answer, TimePoint now);
  void OnStopped(const StopOrder& order, const Answer& answer, TimePoint now);
  void OnPaced(const PaceOrder& order, const Answer& answer, TimePoint now);

  void OnPermits(const PermitOrder& order, const PermitAnswer& answer, TimePoint now);

  Orders Decide(TimePoint now, int64_t wall_ms);

  // The next commit, if there is one; at most one may be open.
  std::optional<Commit> NextCommit(TimePoint now, int64_t wall_ms);
  void OnCommitted(const Commit& commit);

  // A worker obeys a later owner.
  bool superseded() const { return superseded_; }
  const std::map<std::string, WorkerState>& workers() const { return workers_; }
  const JobEntry* FindJob(const std::string& id) const;
  std::map<std::string, int> WaitingCounts(int64_t wall_ms) const;
  PoolSummary Summary(TimePoint now) const;

 private:
  void MarkDirty(const std::string& job);
  void UpdatePlaceable(JobEntry* entry);

  // Runs.
  void EndRun(WorkerState* worker, const RunId& id);
  void MarkRunsLost(WorkerState* worker, TimePoint now);
  void RequestStop(WorkerState* worker, const RunId& id);
  void StopAllRuns(JobEntry* entry);
  void StopRuns(const jobs::TaskId& id);
  void Adopt(WorkerState* worker, const ActiveRun& active, TimePoint now);
  void UpdateLoads(WorkerState* worker);
  void ApplyActiveRuns(WorkerState* worker, const Report& report, TimePoint sent, TimePoint now);
  // True when it changed what must become durable.
  bool ApplyEnd(WorkerState* worker, const EndedRun& end, TimePoint now, int64_t wall_ms);
  void RecordFailure(JobEntry* entry, const RunId& id, int64_t wall_ms);
  void FinishTask(JobEntry* entry, const jobs::TaskId& id, int64_t wall_ms);
  void FinishJob(JobEntry* entry, jobs::JobState state, int64_t wall_ms);
  bool HandleAnswer(WorkerState* worker, const Answer& answer, TimePoint now);
  void DropPermit(const StartOrder& order);
  void RecordNoAnswer(WorkerState* worker, TimePoint now);

  // Decisions.
  void ExpireWorkers(TimePoint now);
  void DecideHeartbeats(TimePoint now, Orders* orders);
  void RetryRuns(TimePoint now, Orders* orders);
  void PlaceTasks(TimePoint now, int64_t wall_ms, Orders* orders);
  std::vector<JobEntry*> JobsInOrder(TimePoint now, int64_t wall_ms);
  void PlaceJob(JobEntry* entry, TimePoint now, int64_t wall_ms, Orders* orders);
  bool PlaceStep(JobEntry* entry, int occurrence, int step, TimePoint now, int64_t wall_ms,
                 Orders* orders);
  bool PlaceTask(JobEntry* entry, const jobs::TaskId& id, TimePoint now, Orders* orders);
  PlacementRequest RequestOf(JobEntry* entry, const jobs::TaskId& id) const;
  void RequestPermits(JobEntry* entry, const jobs::TaskId& id, TimePoint now, Orders* orders);
  bool PreemptFor(const JobEntry& entry, const PlacementRequest& request, TimePoint now);
  bool PlaceGangMembers(JobEntry* entry, int occurrence, int step, const std::string& rack,
                        TimePoint now, Orders* orders);
  void PlaceGang(JobEntry* entry, int occurrence, int step, TimePoint now, int64_t wall_ms,
                 Orders* orders);
  void StartRun(WorkerState* worker, JobEntry* entry, const RunId& id, TimePoint now,
                Orders* orders);
  void EvictFromDrainingWorkers();
  void DecidePace(TimePoint now, Orders* orders);
  std::optional<StartOrder> MakeStartOrder(WorkerState* worker, const RunId& id, TimePoint now);
  int64_t LeaseEndMs(WorkerState* worker, TimePoint now);
  int64_t NextRun(const TaskState& task) const;
  bool MayStart(const JobEntry& entry) const;
  bool IsReconciled() const { return unreconciled_.empty(); }
  WorkerState* FindWorker(const std::string& id);
  JobEntry* FindEntry(const std::string& id);

  DispatchLimits limits_;
  int64_t proven_revision_ = 0;
  int64_t newest_revision_ = 0;  // of the jobs
  const int64_t epoch_;
  const TimePoint took_over_;
  TimePoint last_proof_;
  bool superseded_ = false;

  std::map<std::string, JobEntry> jobs_;
  std::map<std::string, WorkerState> workers_;
  ColocationModel colocation_;
  DurationModel durations_;
  int starts_in_flight_ = 0;
  int permit_orders_in_flight_ = 0;
  bool capacity_changed_ = true;                // since tasks were last placed
  TimePoint placed_at_;                         // when tasks were last placed
  ReservedCapacity reserved_capacity_;          // by the present decision
  UnplaceableRequests unplaceable_;             // in the present decision
  std::map<std::string, JobEntry*> placeable_;  // jobs with tasks that have no active run
  std::set<std::string> unreconciled_;          // inherited workers that have not answered yet
  bool workers_changed_ = false;                // the durable list of workers in use is out of date

  // Jobs with changes that are not durable, in the order of their first such change.
  std::deque<std::pair<uint64_t, std::string>> dirty_;
  std::set<std::string> dirty_jobs_;
  uint64_t generation_ = 0;
  bool commit_in_flight_ = false;
  std::map<std::string, int> written_counts_;
  TimePoint counts_written_at_;
  std::deque<std::pair<int64_t, std::string>> finished_;  // finished_ms, job id
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_DISPATCHER_H_
