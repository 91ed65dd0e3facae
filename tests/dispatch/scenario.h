// Test fixture with a dispatcher, a manual clock and workers whose answers the test supplies.
#ifndef POMELOPOND_TESTS_DISPATCH_SCENARIO_H_
#define POMELOPOND_TESTS_DISPATCH_SCENARIO_H_

#include <algorithm>
#include <string>
#include <vector>

#include "dispatch/dispatcher.h"

namespace pomelopond::dispatch {

// Wall clock of the scenario in milliseconds since the Unix epoch. It stands still.
inline constexpr int64_t kWallStart = 1000000;

inline jobs::Job MakeJob(const std::string& id, std::vector<jobs::Step> steps) {
  jobs::Job job;
  job.id = id;
  job.rules.queue = "queue";
  job.rules.service = "pool";
  job.rules.max_attempts = 3;
  job.steps = std::move(steps);
  return job;
}

inline jobs::Step MakeStep(int replicas, int64_t cpu_milli = 1000) {
  jobs::Step step;
  step.replicas = replicas;
  step.request.cpu_milli = cpu_milli;
  step.request.memory_mb = 100;
  return step;
}

inline WorkerInfo MakeWorker(const std::string& id, int64_t cpu_milli = 16000) {
  WorkerInfo worker;
  worker.id = id;
  worker.service = "pool";
  worker.endpoint = {"10.0.0.1", static_cast<uint16_t>(1000 + std::stoi(id.substr(1)))};
  worker.capacity = {cpu_milli, 64000, 0};
  worker.rack = "rack-0";
  worker.incarnation = 1;
  return worker;
}

// The part of an owner's commits that the next owner inherits besides the jobs.
struct DurableState {
  std::string workers_in_use;
  std::string lease_bounds;
};

class Scenario {
 public:
  explicit Scenario(int64_t epoch = 1, DispatchLimits limits = {},
                    TimePoint start = TimePoint(std::chrono::hours(1)))
      : now(start), dispatcher(limits, epoch, now) {
    dispatcher.OnOwnershipProof(now);
  }

  void Advance(Duration by) {
    now += by;
    dispatcher.OnOwnershipProof(now);
  }
  int64_t WallMs() const { return kWallStart; }

  // Loads what the previous owner committed, as a new owner does at its takeover.
  void Inherit(const DurableState& state) {
    durable = state;
    const LeaseBounds bounds = DecodeLeaseBounds(state.lease_bounds).value;
    for (const WorkerInUse& it : DecodeWorkersInUse(state.workers_in_use).value) {
      dispatcher.InheritWorker(it, bounds, now);
    }
  }

  // Makes one decision and stores its orders in `orders`.
  void Decide() { orders = dispatcher.Decide(now, WallMs()); }

  // Confirms all commits that are due.
  void CommitAll() {
    while (const std::optional<Commit> commit = dispatcher.NextCommit(now, WallMs())) {
      if (commit->workers_in_use) durable.workers_in_use = *commit->workers_in_use;
      if (commit->lease_bounds) durable.lease_bounds = *commit->lease_bounds;
      dispatcher.OnCommitted(*commit);
    }
  }

  // The workers' clocks run at the rate of the local clock.
  int64_t ClockMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  }
  Answer Accepted() const { return {OrderStatus::kAccepted, ClockMs(), 1}; }

  // Answers the heartbeat of a worker.
  void Report(const std::string& worker, std::vector<ActiveRun> active,
              std::vector<EndedRun> ended) {
    HeartbeatOrder order;
    order.to = {worker, dispatcher.workers().at(worker).info.endpoint};
    dispatcher.OnReport(order, {Accepted(), std::move(active), std::move(ended)}, now, WallMs());
  }

  // Lets the heartbeat of a worker time out.
  void TimeOut(const std::string& worker) {
    HeartbeatOrder order;
    order.to = {worker, dispatcher.workers().at(worker).info.endpoint};
    dispatcher.OnReport(order, {{OrderStatus::kNoAnswer, 0, 0}, {}, {}}, now, WallMs());
  }

  // Registers workers, makes them durable and lets each report, so that they accept tasks.
  void AddWorkers(const std::vector<WorkerInfo>& workers) {
    for (const WorkerInfo& it : workers) dispatcher.UpdateWorker(it, now);
    CommitAll();
    Decide();
    for (const WorkerInfo& it : workers) Report(it.id, {}, {});
  }

  // Confirms all starts of the last decision.
  void ConfirmStarts() {
    for (const StartOrder& it : orders.starts) dispatcher.OnStarted(it, Accepted(), now);
  }

  std::vector<RunId> Started() const {
    std::vector<RunId> runs;
    for (const StartOrder& it : orders.starts) runs.push_back(it.run);
    return runs;
  }

  TimePoint now;
  Dispatcher dispatcher;
  Orders orders;
  DurableState durable;
};

inline EndedRun End(int64_t sequence, const RunId& id, EndKind kind,
                    const std::string& checkpoint = {}) {
  return {sequence, id, kind, checkpoint};
}

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_TESTS_DISPATCH_SCENARIO_H_
