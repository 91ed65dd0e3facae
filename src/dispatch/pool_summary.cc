#include "dispatch/pool_summary.h"

#include <algorithm>
#include <cmath>

#include "dispatch/dispatcher.h"

namespace pomelopond::dispatch {
namespace {

constexpr double kMilli = 1000;

void CountJob(const JobEntry& entry, Lateness lateness, int64_t wall_ms, QueueSummary* queue) {
  const bool started = entry.state != jobs::JobState::kPending || HasActiveTask(entry);
  queue->started += started ? 1 : 0;
  queue->late += lateness == Lateness::kLate ? 1 : 0;
  queue->too_late += lateness == Lateness::kTooLate ? 1 : 0;
  if (lateness != Lateness::kOnTime) return;
  queue->on_time += 1;
  if (started || !entry.estimates.has_deadline) return;
  const auto laxity = std::max<int64_t>(1, std::llround(LaxityMs(entry.estimates, entry, wall_ms)));
  const int64_t least = queue->least_laxity_ms;
  queue->least_laxity_ms = least == 0 ? laxity : std::min(least, laxity);
}

}  // namespace

PoolSummary Dispatcher::Summary(TimePoint now, int64_t wall_ms) const {
  PoolSummary out;
  for (const auto& [id, entry] : jobs_) {
    if (jobs::IsFinal(entry.state)) continue;
    out.jobs += 1;
    const bool pending = entry.state == jobs::JobState::kPending;
    out.pending_jobs += pending ? 1 : 0;
    out.unconfirmed_jobs += pending && HasActiveTask(entry) ? 1 : 0;
    for (const auto& [k, steps] : entry.open) {
      for (const StepState& it : steps) out.waiting_tasks += it.waiting;
    }
    out.withheld_tasks += CountWithheld(entry);
    if (!entry.idle_since) continue;
    out.idle_jobs += 1;
    if (now - *entry.idle_since < out.longest_idle) continue;
    out.longest_idle = now - *entry.idle_since;
    out.idle_job = id;
  }
  for (const JobEntry* it : placeable_) {
    out.unserved_share += it->unserved_share / static_cast<double>(placeable_.size());
    out.held_up_jobs += IsHeldUp(*it) ? 1 : 0;
    out.worst_unserved_share = std::max(out.worst_unserved_share, it->unserved_share);
    const Lateness lateness = LatenessOf(it->estimates, *it, wall_ms);
    if (it->estimates.cost_class)
      CountJob(*it, lateness, wall_ms, &out.queues[it->job.rules.queue]);
    const bool late = lateness != Lateness::kOnTime;
    if (!late || !HasReadyTask(*it, wall_ms)) continue;
    out.late_jobs += 1;
    out.single_run_jobs += CountRuns(*it, now).working < 2 ? 1 : 0;
  }
  for (const JobEntry* it : perpetual_) {
    out.tasks_away += it->tasks_away;
    for (const TaskAway& task : TasksAway(*it, now)) {
      out.longest_away = std::max(out.longest_away, task.away);
    }
  }
  out.evacuated_domains = static_cast<int>(evacuated_domains_.size());
  out.evacuation_round = evacuation_round_;
  out.rescues = rescue_.counts;
  out.rescue_round = rescue_.round;
  for (auto& [queue, it] : out.queues) it.mean_core_ms = MeanWork(work_, queue);
  out.forecasts = written_counts_.forecasts;
  out.run_lines_left_out = run_lines_left_out_;
  out.starts = starts_;
  out.ends = ends_;
  out.placements = placements_;
  out.limited_placements = limited_placements_;
  out.answered_starts = answered_starts_;
  out.start_time = start_time_;
  out.starts_in_flight = starts_in_flight_;
  out.jobs_revision = jobs_revision_;
  out.unreconciled_workers = static_cast<int>(unreconciled_.size());
  for (const auto& [id, it] : workers_) {
    out.runs += static_cast<int>(it.runs.size());
    out.unresponsive_workers += it.unanswered_calls > 0 ? 1 : 0;
    out.serving_workers += it.serving > 0 ? 1 : 0;
    out.member_cpu += IsMember(it, now) ? it.info.capacity.cpu_milli : 0;
    out.reserved_cpu += it.used.cpu_milli;
    out.best_effort_cpu += it.best_effort_cpu;
    for (const auto& [image, cores] : it.best_effort_load) {
      out.best_effort_used_cpu += static_cast<int64_t>(cores * kMilli);
    }
    for (const auto& [id, run] : it.runs) {
      out.paced_runs += run.best_effort && run.pace < kFullPace ? 1 : 0;
    }
    out.slow_workers += it.speed.slow ? 1 : 0;
    out.slow_runs += it.speed.slow ? static_cast<int>(it.runs.size()) : 0;
    if (it.evacuated) {
      out.evacuated_workers += it.registered ? 1 : 0;
      CountEvacuationRuns(it, &out.evacuated_runs);
    }
    out.high_tail_workers += WorstTailRatio(it) > kHighTailRatio ? 1 : 0;
    if (!AcceptsTasks(it, now)) continue;
    out.workers += 1;
    out.free_cpu += std::max<int64_t>(0, FreeCapacity(it).cpu_milli - it.best_effort_cpu);
  }
  return out;
}

}  // namespace pomelopond::dispatch
