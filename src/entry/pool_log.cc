#include "entry/pool_log.h"

#include <map>

#include "base/log.h"
#include "base/time.h"

namespace pomelopond::entry {
namespace {

int Permille(double share) { return static_cast<int>(share * 1000); }

int Count(const std::map<dispatch::Obstacle, int>& workers, dispatch::Obstacle obstacle) {
  const auto it = workers.find(obstacle);
  return it == workers.end() ? 0 : it->second;
}

}  // namespace

void LogPool(const dispatch::PoolSummary& it, int64_t epoch) {
  Log(LogLevel::kInfo, "owner", "pool",
      {{"epoch", epoch},
       {"jobs", it.jobs},
       {"waiting_tasks", it.waiting_tasks},
       {"withheld_tasks", it.withheld_tasks},
       {"pending_jobs", it.pending_jobs},
       {"unconfirmed_jobs", it.unconfirmed_jobs},
       {"jobs_revision", it.jobs_revision},
       {"unserved_permille", Permille(it.unserved_share)},
       {"worst_unserved_permille", Permille(it.worst_unserved_share)},
       {"held_up_jobs", it.held_up_jobs},
       {"run_lines_left_out", it.run_lines_left_out},
       {"starts", it.starts},
       {"ends", it.ends},
       {"placements", it.placements},
       {"limited_placements", it.limited_placements},
       {"starts_in_flight", it.starts_in_flight},
       {"answered_starts", it.answered_starts},
       {"start_time_ms", Milliseconds(it.start_time)},
       {"idle_jobs", it.idle_jobs},
       {"longest_idle_ms", Milliseconds(it.longest_idle)},
       {"idle_job", it.idle_job},
       {"late_jobs", it.late_jobs},
       {"single_run_jobs", it.single_run_jobs},
       {"tasks_away", it.tasks_away},
       {"longest_away_ms", Milliseconds(it.longest_away)},
       {"runs", it.runs},
       {"workers", it.workers},
       {"silent", it.unresponsive_workers},
       {"unreconciled", it.unreconciled_workers},
       {"serving", it.serving_workers},
       {"member_cpu", it.member_cpu},
       {"reserved_cpu", it.reserved_cpu},
       {"fill_cpu", it.best_effort_cpu},
       {"fill_used_cpu", it.best_effort_used_cpu},
       {"paced", it.paced_runs},
       {"strained", it.high_tail_workers},
       {"free_cpu", it.free_cpu}});
}

void LogQueues(const dispatch::PoolSummary& it) {
  for (const auto& [queue, jobs] : it.queues) {
    Log(LogLevel::kInfo, "owner", "queue_order",
        {{"queue", queue},
         {"on_time", jobs.on_time},
         {"late", jobs.late},
         {"too_late", jobs.too_late},
         {"started", jobs.started},
         {"mean_core_ms", static_cast<int64_t>(jobs.mean_core_ms)},
         {"least_laxity_ms", jobs.least_laxity_ms}});
  }
  for (const auto& [queue, forecast] : it.forecasts) {
    Log(LogLevel::kInfo, "owner", "queue_wait",
        {{"queue", queue},
         {"wait_ms", forecast.wait_ms},
         {"useless_after_ms", forecast.useless_after_ms},
         {"drain_ms", forecast.drain_ms},
         {"jobs_revision", it.jobs_revision}});
  }
}

void LogEvacuation(const dispatch::PoolSummary& it) {
  if (it.evacuated_workers == 0 && it.evacuated_runs.Total() == 0) return;
  Log(LogLevel::kInfo, "owner", "evacuation_progress",
      {{"workers", it.evacuated_workers},
       {"perpetual", it.evacuated_runs.perpetual},
       {"checkpointed", it.evacuated_runs.checkpointed},
       {"others", it.evacuated_runs.others},
       {"stopping", it.evacuated_runs.stopping},
       {"without_room", it.evacuation_round.without_room},
       {"at_limit", it.evacuation_round.at_limit},
       {"behind_waiting", it.evacuation_round.behind_waiting},
       {"free_cpu", it.free_cpu}});
}

void LogSlowWorkers(const dispatch::PoolSummary& it) {
  const dispatch::RescueCounts& total = it.rescues;
  if (it.slow_workers == 0 && total.slow_verdicts == 0) return;
  Log(LogLevel::kInfo, "owner", "slow_workers",
      {{"workers", it.slow_workers},
       {"runs", it.slow_runs},
       {"rescued", it.rescue_round.rescued},
       {"without_room", it.rescue_round.without_room},
       {"behind_waiting", it.rescue_round.behind_waiting},
       {"at_limit", it.rescue_round.at_limit},
       {"total_verdicts", total.slow_verdicts},
       {"total_resumed", total.resumed},
       {"total_restarted", total.restarted},
       {"total_moved", total.moved},
       {"total_copies", total.copies},
       {"total_copies_first", total.copies_first},
       {"total_discarded_core_ms", total.discarded_core_ms},
       {"lines_left_out", total.lines_left_out}});
}

void LogWait(const dispatch::JobWait& wait) {
  using dispatch::Obstacle;
  const auto workers = [&wait](Obstacle it) { return Count(wait.obstacles, it); };
  Log(LogLevel::kInfo, "owner", "job_waits",
      {{"job", wait.job},
       {"age_ms", wait.age_ms},
       {"unserved_permille", Permille(wait.unserved_share)},
       {"ready", wait.ready_tasks},
       {"starting", wait.starting},
       {"running", wait.running},
       {"paused", wait.paused},
       {"stopping", wait.stopping},
       {"workers_fit", workers(Obstacle::kNone)},
       {"workers_unavailable", workers(Obstacle::kUnavailable)},
       {"workers_ineligible", workers(Obstacle::kIneligible)},
       {"workers_reserved", workers(Obstacle::kReservation)},
       {"workers_requested", workers(Obstacle::kProcessor)},
       {"workers_long_tail", workers(Obstacle::kTail)},
       {"workers_expected_tail", workers(Obstacle::kExpectedTail)}});
}

void LogTaskAway(const dispatch::TaskAway& task) {
  using dispatch::Obstacle;
  const auto workers = [&task](Obstacle it) { return Count(task.obstacles, it); };
  Log(LogLevel::kInfo, "owner", "task_away",
      {{"job", task.task.job},
       {"occurrence", task.task.occurrence},
       {"step", task.task.step},
       {"index", task.task.index},
       {"away_ms", Milliseconds(task.away)},
       {"state", dispatch::AwayStateName(task.state)},
       {"run", task.run},
       {"worker", task.worker},
       {"since_order_ms", Milliseconds(task.since_order)},
       {"workers_fit", workers(Obstacle::kNone)},
       {"workers_unavailable", workers(Obstacle::kUnavailable)},
       {"workers_ineligible", workers(Obstacle::kIneligible)},
       {"workers_reserved", workers(Obstacle::kReservation)}});
}

}  // namespace pomelopond::entry
