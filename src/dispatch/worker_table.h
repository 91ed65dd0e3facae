// In-memory state of the workers of a pool: clocks, leases and runs.
#ifndef POMELOPOND_DISPATCH_WORKER_TABLE_H_
#define POMELOPOND_DISPATCH_WORKER_TABLE_H_

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "dispatch/refusal_backoff.h"
#include "dispatch/run_progress.h"
#include "dispatch/worker.h"
#include "dispatch/worker_speed.h"
#include "jobs/job.h"
#include "planning/interference.h"

namespace pomelopond::dispatch {

inline constexpr int64_t kUnknownStartLease = std::numeric_limits<int64_t>::max();

// State of a run on a worker, as the owner knows it.
enum class RunPhase {
  kStarting,  // ordered; not confirmed yet
  kRunning,   // confirmed by the worker
  kStopping,  // must end; the worker has not reported the end yet
};

// Why the owner stops a run.
enum class StopReason {
  kNone,
  kJobOver,        // the task is done, or its job is finished or cancelled
  kPreempted,      // a task of a more urgent queue needs the capacity
  kTail,           // it lengthens a tail over its target
  kStalled,        // its reports show no progress
  kDraining,       // its worker shuts down soon
  kEvacuated,      // the failure domain of its worker is evacuated
  kSlowWorker,     // its worker is slow, and its task does better elsewhere
  kRedundantCopy,  // another run of the task has completed first
  kUnwanted,       // another run of the task is wanted, or none
  kUncertain,      // its start can neither be confirmed nor sent again
};

const char* StopReasonName(StopReason reason);

// A run on a worker. Fields without a comment are those of its step or job.
struct RunState {
  RunPhase phase = RunPhase::kStarting;
  Resources request;
  bool best_effort = false;
  bool perpetual = false;
  bool checkpoint = false;
  int priority = 0;
  int64_t target_tail_ms = 0;
  std::string image;
  TimePoint ordered_at;          // when the start was ordered or the run was adopted
  TimePoint started_at{};        // when the worker first confirmed the start
  TimePoint confirmed_at;        // when the worker last confirmed a start or a stop
  bool call_in_flight = false;   // a start, stop or pace order awaits its answer
  bool outcome_unknown = false;  // a start got no answer and may still take effect
  bool stop_confirmed = false;   // the worker accepted the stop order
  // End of the lease in the start orders of the run, in ms on the worker's clock: none of them
  // takes effect after it. 0: none was sent; kUnknownStartLease: it is not a time on the present
  // clock.
  int64_t start_lease_end_ms = 0;
  // The worker's current incarnation is known to have carried out the start: a report lists the
  // run, or the answer to the start names the incarnation.
  bool incarnation_known = false;
  uint64_t listed_in = 0;  // number of the worker's last report that lists the run
  TimePoint next_call;     // earliest time of the next order for the run
  RunProgress progress;
  SpeedMeter meter;
  bool is_copy = false;   // started beside another run of its task
  bool is_trial = false;  // started on a suspect worker
  // Time that reports cover without a change of the progress.
  Duration without_progress{};
  int64_t load = 0;       // as last reported; see ActiveRun
  double tail_ms = 0;     // moving average of the loads of a run with a tail target
  int pace = 100;         // processor share ordered last, in percent; -1: unknown, order it again
  TimePoint paused_at;    // when the pace was last set to 0
  Duration paused_for{};  // how long it was 0 before that
  StopReason stop_reason = StopReason::kNone;
};

// The latency-critical runs of one image on a worker.
struct ServedImage {
  std::string image;
  double baseline_ratio = 0;  // highest ratio of the tail without best-effort tasks to its target
  double slowdown = 0;        // expected from the best-effort runs on the worker
};

// Tails of a worker, as its runs, its last report and the interference model tell.
struct TailSummary {
  bool valid = false;
  double worst_ratio = 0;  // highest reported ratio of a tail to its target
  std::vector<ServedImage> images;
};

// What determines a worker's place in a WorkerIndex.
struct WorkerIndexKey {
  std::string service;
  bool serving = false;      // runs latency-critical tasks
  bool best_effort = false;  // runs best-effort tasks
  int64_t spare_cpu = 0;     // see SpareCpu()

  friend bool operator==(const WorkerIndexKey& a, const WorkerIndexKey& b) {
    return std::tie(a.service, a.serving, a.best_effort, a.spare_cpu) ==
           std::tie(b.service, b.serving, b.best_effort, b.spare_cpu);
  }
  friend bool operator!=(const WorkerIndexKey& a, const WorkerIndexKey& b) { return !(a == b); }
};

// A worker and its runs. Processor time is in thousandths of a core.
struct WorkerState {
  WorkerInfo info;
  uint64_t report_connection = 0;  // that carried the last report
  bool registered = false;         // present in the registry at the last update
  TimePoint deregistered_at{};     // when the registration was last found missing
  bool evacuated = false;          // its failure domain is evacuated, so it gets no tasks
  TimePoint cold_until{};          // the worker is slow until then because it is cold
  TimePoint next_cold_start{};     // while it is cold, it accepts no task before this time
  // The worker has answered as an incarnation that is not registered yet, so it may have another
  // capacity and other labels than `info`.
  bool info_outdated = false;
  bool recorded = false;   // contained in the durable list of workers in use
  bool inherited = false;  // an earlier owner may have started runs that are not known yet
  // An earlier owner that does not know of its replacement may extend leases until then.
  TimePoint inherited_until{};
  // The known incarnation has answered this owner and so obeys no earlier one, and nothing tells of
  // a later incarnation.
  bool contacted = false;
  TimePoint contacted_at{};  // when `contacted` was set

  // The worker's clock showed `clock_ms` at or before `clock_at`.
  int64_t clock_ms = 0;
  TimePoint clock_at;
  // All runs on the worker end by this time unless another order extends the lease.
  TimePoint lease_ends;
  TimePoint last_start{};  // when a start order was last sent
  // The next owner may rely on a written bound of the lease, so no order may extend it.
  bool lease_bounded = false;

  bool heartbeat_in_flight = false;  // a heartbeat awaits its answer
  TimePoint heartbeat_sent_at;       // when the last heartbeat was sent
  TimePoint reported_at;             // when the last usable report arrived
  uint64_t reports = 0;              // number of usable reports
  TimePoint next_heartbeat;          // earliest time of the next heartbeat
  int64_t processed = 0;             // highest position of an ended run that has been applied
  int64_t acknowledged = 0;          // highest position of an ended run that is durable
  uint64_t generation = 0;           // the commit that makes `processed` durable
  int unanswered_calls = 0;          // consecutive calls without an answer
  int unanswered_heartbeats = 0;     // consecutive heartbeats without an answer
  // A call got no answer since the last report, so the worker may have started again under its id.
  // Answers to other orders don't tell, as they don't name the incarnation.
  bool may_have_restarted = false;
  int failures = 0;         // consecutive failed runs that count against the worker
  TimePoint backoff_until;  // accepts no task before this time
  RefusalBackoff refusals;
  // Until then the worker gets only trials: tasks that fit on no other worker, one at a time.
  TimePoint suspect_until;
  // Earliest times of the next trial of a perpetual task and of another one. They are separate, as
  // perpetual tasks that fail and start again would take all trials.
  TimePoint next_perpetual_trial;
  TimePoint next_trial;
  WorkerSpeed speed;

  Resources used;               // reserved by runs
  int64_t best_effort_cpu = 0;  // requested by best-effort runs
  int64_t best_effort_use = 0;  // in use by them, as far as reports tell, else requested
  int64_t serving_cpu = 0;      // reserved by runs with a tail target
  int serving = 0;              // number of runs with a tail target
  // Parts of `used` that are reserved by runs which are being stopped, and by other runs which are
  // not perpetual, by the priority of their queue.
  Resources stopping;
  std::map<int, Resources> preemptible;
  // Cores in use by best-effort runs, by image, at the last report.
  planning::BatchLoad best_effort_load;
  bool has_new_report = false;  // a report arrived since the last pace decision
  TimePoint paced_at;           // when the pace of a run on the worker was last changed
  // Since when a tail has been over its target, until all are clearly below theirs again.
  std::optional<TimePoint> long_tail_since;
  TimePoint tail_stop_at;  // when a run was last stopped for a tail
  int slow_starts = 0;     // runs that are to be slowed down once their start is confirmed
  std::map<RunId, RunState> runs;
  // Computed when a placement asks for it; a change of `runs` or a report makes it invalid.
  mutable TailSummary tails;

  bool indexed = false;      // listed in the index of its owner, under `index_key`
  WorkerIndexKey index_key;  // changes only while the worker is not listed
};

// A heartbeat without a usable answer is repeated after this time.
inline constexpr Duration kHeartbeatRetry = std::chrono::milliseconds(300);
// Allowance for timers of a worker that fire late.
inline constexpr Duration kTimerSlack = std::chrono::milliseconds(50);
// Lowest rate of a worker's clock relative to the local clock.
inline constexpr double kMinClockRate = 0.98;

// Estimate of the worker's clock at `now`, in ms.
int64_t EstimatedClockMs(const WorkerState& worker, TimePoint now);

// Latest local time at which the worker's clock reaches `end_ms`.
TimePoint LatestLocalTime(const WorkerState& worker, int64_t end_ms);

// Capacity that no run has reserved.
Resources FreeCapacity(const WorkerState& worker);

// Amount that the run reserves of its worker's capacity. Best-effort runs reserve no processor
// time.
Resources RunReservation(const RunState& run);

void AddRun(WorkerState* worker, const RunId& id, const jobs::Step& step, int priority,
            TimePoint now);
void RemoveRun(WorkerState* worker, const RunId& id);
void MarkStopping(WorkerState* worker, RunState* run);
// Replaces the refusals of the worker and updates the time before which it accepts no task.
void SetRefusals(WorkerState* worker, const RefusalBackoff& refusals);
// The worker has confirmed the start of the run, maybe not for the first time.
void MarkStarted(RunState* run, TimePoint now);
// Processor time that counts as in use by the run, if it is a best-effort one.
int64_t BestEffortUse(const RunState& run);
// Records the load that a report gives for the run.
void RecordLoad(WorkerState* worker, RunState* run, int64_t load);
// The owner orders `pace` for the run.
void RecordPace(RunState* run, int pace, TimePoint now);

// True when the run makes progress for its job, as far as the owner can tell: it is neither paused
// nor being stopped, and its start is confirmed or was ordered a moment ago.
bool IsWorking(const RunState& run, TimePoint now);

// True when the run is at work and is expected to end before another one that is ordered now makes
// progress.
bool EndsSoon(const RunState& run, TimePoint now);

// True when no worker has confirmed the start of the run and none can any more, because its start
// orders have been too old since before the worker's clock showed `clock_ms`.
bool IsStartExpired(const RunState& run, int64_t clock_ms);

// Upper bound of what tasks of `priority` can get reserved by stopping runs on the worker.
Resources MostReleasable(const WorkerState& worker, int priority);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_TABLE_H_
