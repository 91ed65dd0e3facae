// Figures of a pool for logs and metrics.
#ifndef POMELOPOND_DISPATCH_POOL_SUMMARY_H_
#define POMELOPOND_DISPATCH_POOL_SUMMARY_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "dispatch/evacuation.h"
#include "dispatch/rescue.h"
#include "dispatch/waiting_counts.h"

namespace pomelopond::dispatch {

// Jobs of a queue with waiting tasks, by their prospect, and what orders them.
struct QueueSummary {
  int on_time = 0;
  int late = 0;
  int too_late = 0;
  int started = 0;              // of all these
  double mean_core_ms = 0;      // mean work of the queue's jobs
  int64_t least_laxity_ms = 0;  // of the jobs on time that have not started; 0: there is none
};

// Snapshot of the pool for logs and metrics. Processor time is in thousandths of a core.
struct PoolSummary {
  int jobs = 0;               // jobs that are not finished
  int waiting_tasks = 0;      // tasks without a run, ready or not
  int withheld_tasks = 0;     // of these, tasks withheld until all workers are reconciled
  int pending_jobs = 0;       // jobs that callers are told to be pending
  int unconfirmed_jobs = 0;   // of these, jobs with a start that is not confirmed
  int64_t jobs_revision = 0;  // store revision up to which all jobs are known
  double unserved_share = 0;  // mean of the jobs with waiting tasks; see JobEntry
  double worst_unserved_share = 0;
  int held_up_jobs = 0;  // jobs whose runs are all paused, being stopped or on silent workers
  int64_t run_lines_left_out = 0;  // lines about runs of explained jobs, for their number
  // Since this owner took over.
  int64_t starts = 0;                // start orders for new runs
  int64_t ends = 0;                  // reported ends of runs
  int64_t placements = 0;            // placements that began
  int64_t limited_placements = 0;    // of these, placements that met the limit of starts in flight
  int64_t answered_starts = 0;       // answers to start orders
  Duration start_time{};             // from the order to the answer, sum of these
  int starts_in_flight = 0;          // start orders without an answer, at present
  int idle_jobs = 0;                 // jobs without a run at work although a task could start
  Duration longest_idle{};           // longest time that one of them has been idle
  std::string idle_job;              // id of that job
  int late_jobs = 0;                 // late jobs of which a task could start
  int single_run_jobs = 0;           // of these, those with fewer than two runs at work
  int tasks_away = 0;                // perpetual tasks that are not at work
  Duration longest_away{};           // longest time that one of them has been away
  int runs = 0;                      // runs on all workers
  int workers = 0;                   // workers that accept tasks
  int unresponsive_workers = 0;      // workers that did not answer the last call
  int unreconciled_workers = 0;      // workers that may hold unknown runs of earlier owners
  int serving_workers = 0;           // workers with latency-critical tasks
  int64_t member_cpu = 0;            // of the workers that are registered and stay
  int64_t reserved_cpu = 0;          // reserved on all workers
  int64_t best_effort_cpu = 0;       // requested by best-effort tasks
  int64_t best_effort_used_cpu = 0;  // used by best-effort tasks, as last reported
  int paced_runs = 0;                // best-effort runs below their full processor share
  int high_tail_workers = 0;         // workers whose tails keep further best-effort tasks away
  int evacuated_domains = 0;
  // Registered workers in evacuated failure domains, and their runs.
  int evacuated_workers = 0;
  EvacuationRuns evacuated_runs;
  EvacuationRound evacuation_round;  // the last one
  int slow_workers = 0;              // whether they are avoided or not
  int slow_runs = 0;                 // runs on them
  RescueCounts rescues;
  RescueRound rescue_round;  // the last one
  // Neither reserved nor requested by best-effort tasks, on workers that accept tasks.
  int64_t free_cpu = 0;
  // By queue, if jobs are ordered by value and work.
  std::map<std::string, QueueSummary> queues;
  // Queues whose jobs wait for room, as last published.
  std::map<std::string, QueueForecast> forecasts;
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_POOL_SUMMARY_H_
