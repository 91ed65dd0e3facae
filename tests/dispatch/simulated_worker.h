// A worker of a simulated fleet: fences, run numbers, leases on its own clock, and the list of
// ended runs, as workers keep them.
#ifndef POMELOPOND_TESTS_DISPATCH_SIMULATED_WORKER_H_
#define POMELOPOND_TESTS_DISPATCH_SIMULATED_WORKER_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/worker.h"
#include "dispatch/worker_calls.h"
#include "jobs/job.h"

namespace pomelopond::dispatch {

inline constexpr Duration kStopTime = std::chrono::milliseconds(200);
inline constexpr Duration kLoadingTime = std::chrono::milliseconds(500);
inline constexpr size_t kMaxReportedEnds = 500;
inline constexpr Duration kGangTimeout = std::chrono::seconds(2);
// Longest lease that a worker grants, on its own clock: DispatchLimits::max_lease of its owners.
inline constexpr Duration kMaxWorkerLease = std::chrono::seconds(10);

struct SimulatedRun {
  jobs::Step step;
  TimePoint began;
  Duration work{};  // time until it ends by itself
  Duration lost{};  // time in which it has done nothing, on a slow worker
  bool fails = false;
  TimePoint stops_at = TimePoint::max();
};

inline Resources ReservationOf(const jobs::Step& step) {
  return {step.best_effort ? 0 : step.request.cpu_milli, step.request.memory_mb,
          step.request.accelerators};
}

inline int64_t Ms(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// One incarnation of a worker.
struct SimulatedWorker {
  WorkerInfo info;
  bool enforces_capacity = true;
  double clock_rate = 1;
  TimePoint booted;
  TimePoint silent_until;     // takes no call and sends no answer before
  TimePoint unhealthy_until;  // refuses starts before
  TimePoint poisoned_until;   // tasks that start before then fail
  TimePoint slow_until;       // runs do a fifth of their work before
  Duration cut_by_start{};    // silent for this time once it has started a run; zero: not
  TimePoint leaves_at = TimePoint::max();
  int64_t epoch = 0;
  int64_t lease_end_ms = 0;
  TimePoint lapsed_at{};  // when the lease was last found to have ended
  int64_t sequence = 0;
  std::map<RunId, SimulatedRun> active;
  std::vector<EndedRun> ended;
  std::map<int64_t, TimePoint> ended_at;       // by position in the list of ended runs
  std::map<jobs::TaskId, int64_t> last_ended;  // highest run that was stopped or ended
};

inline int64_t ClockMs(const SimulatedWorker& worker, TimePoint now) {
  return 1 + static_cast<int64_t>(static_cast<double>(Ms(now - worker.booted)) * worker.clock_rate);
}

inline Resources UsedCapacity(const SimulatedWorker& worker) {
  Resources used;
  for (const auto& [id, it] : worker.active) used = used + ReservationOf(it.step);
  return used;
}

inline void EndRun(SimulatedWorker* worker, const RunId& id, EndKind kind, TimePoint now) {
  worker->active.erase(id);
  worker->ended.push_back({++worker->sequence, id, kind, {}});
  worker->ended_at[worker->sequence] = now;
  int64_t& last = worker->last_ended[id.task];
  last = std::max(last, id.run);
}

// Passes a tick on the runs of a slow worker.
inline void SlowDown(SimulatedWorker* worker, Duration tick, TimePoint now) {
  if (now >= worker->slow_until) return;
  for (auto& [id, it] : worker->active) it.lost += std::min<Duration>(tick, now - it.began) * 4 / 5;
}

// Ends the runs that end by themselves or with the lease. Gangs end by decision of the fleet.
inline void Advance(SimulatedWorker* worker, TimePoint now) {
  const bool lapsed = ClockMs(*worker, now) >= worker->lease_end_ms;
  if (lapsed) worker->lapsed_at = now;
  std::vector<std::pair<RunId, EndKind>> ends;
  for (const auto& [id, it] : worker->active) {
    if (lapsed) {
      ends.emplace_back(id, EndKind::kLeaseExpired);
    } else if (now >= it.stops_at) {
      ends.emplace_back(id, EndKind::kStopped);
    } else if (!it.step.gang && now - it.began - it.lost >= it.work) {
      ends.emplace_back(id, it.fails ? EndKind::kFailed : EndKind::kDone);
    }
  }
  for (const auto& [id, kind] : ends) EndRun(worker, id, kind, now);
}

// Only reports name the incarnation, as on the platform.
inline Report AnswerOf(const SimulatedWorker& worker, OrderStatus status, TimePoint now) {
  Report report;
  report.answer = {status, ClockMs(worker, now), 0};
  return report;
}

// Returns true when the order is not refused for its epoch.
inline bool PassesFence(SimulatedWorker* worker, int64_t epoch) {
  if (epoch < worker->epoch) return false;
  worker->epoch = epoch;
  return true;
}

// Extends the lease to `lease_end_ms`, or by the worker's maximum if that is less, as the end may
// be a time on the clock of an earlier incarnation.
inline void ExtendLease(SimulatedWorker* worker, int64_t lease_end_ms, TimePoint now) {
  const int64_t most = ClockMs(*worker, now) + Ms(kMaxWorkerLease);
  worker->lease_end_ms = std::max(worker->lease_end_ms, std::min(lease_end_ms, most));
}

inline OrderStatus StartOn(SimulatedWorker* worker, const StartOrder& order,
                           const SimulatedRun& run, TimePoint now) {
  if (!PassesFence(worker, order.epoch)) return OrderStatus::kStaleEpoch;
  const int64_t clock_ms = ClockMs(*worker, now);
  if (order.lease_end_ms > clock_ms) ExtendLease(worker, order.lease_end_ms, now);
  if (worker->active.count(order.run) > 0) return OrderStatus::kAccepted;
  const auto last = worker->last_ended.find(order.run.task);
  if (last != worker->last_ended.end() && order.run.run <= last->second) {
    return OrderStatus::kStaleRun;
  }
  if (order.lease_end_ms <= clock_ms) return OrderStatus::kLeaseTooOld;
  const Resources free = worker->info.capacity - UsedCapacity(*worker);
  if (worker->enforces_capacity && !Fits(ReservationOf(run.step), free)) {
    return OrderStatus::kNoCapacity;
  }
  worker->active.emplace(order.run, run);
  return OrderStatus::kAccepted;
}

inline OrderStatus StopOn(SimulatedWorker* worker, const StopOrder& order, TimePoint now) {
  if (!PassesFence(worker, order.epoch)) return OrderStatus::kStaleEpoch;
  int64_t& last = worker->last_ended[order.run.task];
  last = std::max(last, order.run.run);
  const auto found = worker->active.find(order.run);
  if (found != worker->active.end()) {
    found->second.stops_at = std::min(found->second.stops_at, now + kStopTime);
  }
  return OrderStatus::kAccepted;
}

// Takes a heartbeat. The report follows at once, or when a run ends. Adds the ended runs that the
// worker forgets to `forgotten`.
inline OrderStatus HoldOn(SimulatedWorker* worker, const HeartbeatOrder& order, TimePoint now,
                          std::vector<EndedRun>* forgotten = nullptr) {
  if (!PassesFence(worker, order.epoch)) return OrderStatus::kStaleEpoch;
  // Each incarnation has a connection of its own.
  const bool tied = order.connection != 0;
  if (tied && order.connection != static_cast<uint64_t>(worker->info.incarnation)) {
    return OrderStatus::kAccepted;
  }
  ExtendLease(worker, order.lease_end_ms, now);
  std::vector<EndedRun>& ended = worker->ended;
  const auto kept = std::find_if(ended.begin(), ended.end(), [&order](const EndedRun& it) {
    return it.sequence > order.acknowledged;
  });
  if (forgotten != nullptr) forgotten->insert(forgotten->end(), ended.begin(), kept);
  ended.erase(ended.begin(), kept);
  return OrderStatus::kAccepted;
}

// A perpetual task serves once it has been loaded.
inline int PercentOf(const SimulatedRun& run, TimePoint now) {
  if (run.step.perpetual) return now >= run.began + kLoadingTime ? 100 : 0;
  if (run.work <= Duration::zero()) return 0;
  return static_cast<int>(std::min<int64_t>(99, (now - run.began - run.lost) * 100 / run.work));
}

inline Report ReportOf(const SimulatedWorker& worker, OrderStatus status, TimePoint now) {
  Report report = AnswerOf(worker, status, now);
  report.answer.incarnation = worker.info.incarnation;
  report.connection = static_cast<uint64_t>(worker.info.incarnation);
  if (status != OrderStatus::kAccepted) return report;
  const auto best_effort = std::count_if(worker.active.begin(), worker.active.end(),
                                         [](const auto& it) { return it.second.step.best_effort; });
  for (const auto& [id, it] : worker.active) {
    // Tails rise with the number of best-effort runs beside them.
    const int64_t tail = 20 + 12 * best_effort + Ms(now - it.began) / 100 % 5;
    const int64_t load = it.step.target_tail_ms > 0 ? tail : it.step.request.cpu_milli / 2;
    report.active.push_back({id, "", PercentOf(it, now), load});
  }
  report.ended = worker.ended;
  report.is_cut = report.ended.size() >= kMaxReportedEnds;
  if (report.is_cut) report.ended.resize(kMaxReportedEnds);
  return report;
}

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_TESTS_DISPATCH_SIMULATED_WORKER_H_
