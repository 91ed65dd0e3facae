// The workers of a pool in memory: their clocks, leases, and the runs on them.
#ifndef POMELOPOND_DISPATCH_WORKER_TABLE_H_
#define POMELOPOND_DISPATCH_WORKER_TABLE_H_

#include <map>
#include <string>

#include "base/time.h"
#include "dispatch/worker.h"
#include "jobs/job.h"
#include "planning/interference.h"

namespace pomelopond::dispatch {

enum class RunPhase {
  kStarting,  // ordered; no answer yet
  kRunning,   // the worker has confirmed it
  kStopping,  // must end; the worker has not listed its end yet
};

struct RunState {
  RunPhase phase = RunPhase::kStarting;
  Resources request;
  bool best_effort = false;
  bool perpetual = false;
  bool checkpoint = false;
  int priority = 0;
  int64_t target_tail_ms = 0;
  std::string image;
  TimePoint ordered_at;    // when it was ordered
  TimePoint confirmed_at;  // when the worker said that it runs
  bool call_in_flight = false;
  bool outcome_unknown = false;  // a call got no answer, so the start may still be carried out
  bool stop_confirmed = false;
  TimePoint next_call;
  int percent = 0;
  TimePoint progressed_at;  // when the percentage last rose
  int64_t load = 0;
  int pace = 100;  // the share ordered last
};

struct WorkerState {
  WorkerInfo info;
  bool registered = false;      // registered at present
  TimePoint deregistered_at{};  // when it was last found to be registered no more
  bool recorded = false;        // in the durable list of workers in use
  bool inherited = false;       // an earlier owner may have runs on it that are not known yet
  bool contacted = false;       // has answered this owner, so that it obeys no earlier one

  // The worker's clock showed `clock_ms` at or before `clock_at`.
  int64_t clock_ms = 0;
  TimePoint clock_at;
  // By then all that runs there has ended, unless another order extends it.
  TimePoint lease_ends;

  bool heartbeat_in_flight = false;
  TimePoint heartbeat_sent_at;
  TimePoint next_heartbeat;
  int64_t processed = 0;     // ends up to this position are taken into account
  int64_t acknowledged = 0;  // ends up to this position are durable
  uint64_t generation = 0;   // the commit that makes `processed` durable
  int unanswered_calls = 0;  // calls in a row without an answer
  int failures = 0;          // failed runs in a row
  TimePoint backoff_until;   // takes no task before
  TimePoint suspect_until;   // takes only perpetual tasks that fit nowhere else before

  Resources used;               // by runs that count against the capacity
  int64_t best_effort_cpu = 0;  // requested by filling runs
  int64_t serving_cpu = 0;      // requested by runs with a target
  int serving = 0;              // runs with a target
  planning::BatchLoad
      best_effort_load;       // cores in use by image of filling runs, at the last report
  bool has_new_tail = false;  // a report came since the last decision on filling runs
  std::map<RunId, RunState> runs;
};

// How much slower a worker's clock may be than ours.
inline constexpr double kMinClockRate = 0.98;

// The worker's clock at `now` as far as known.
int64_t EstimatedClockMs(const WorkerState& worker, TimePoint now);

// The latest time on our clock at which the worker's clock reaches `end_ms`.
TimePoint LatestLocalTime(const WorkerState& worker, int64_t end_ms);

// Room for tasks that count against the capacity.
Resources FreeCapacity(const WorkerState& worker);

// What the run counts against the capacity.
Resources RunReservation(const RunState& run);

void AddRun(WorkerState* worker, const RunId& id, const jobs::Step& step, int priority,
            TimePoint now);
void RemoveRun(WorkerState* worker, const RunId& id);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_TABLE_H_
