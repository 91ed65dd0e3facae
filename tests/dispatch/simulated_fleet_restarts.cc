// Workers of a simulated fleet that start again.
#include "tests/dispatch/simulated_fleet.h"

namespace pomelopond::dispatch {
namespace {

// Longest time for which a worker that has started again is cut off: more than any lease.
constexpr int64_t kLongestCutMs = 14000;

}  // namespace

// The worker starts again under its id, as another kind and maybe at another address, which may be
// that of an earlier worker.
void SimulatedFleet::Restart(SimulatedWorker* worker) {
  SimulatedWorker next;
  next.info = DrawInfo(worker->info.id, worker->info.endpoint);
  next.info.rack = worker->info.rack;
  next.info.failure_domain = worker->info.failure_domain;
  next.booted = now_;
  next.clock_rate = worker->clock_rate;
  next.enforces_capacity = worker->enforces_capacity;
  next.silent_until = now_ + MsBetween(0, 1500);
  const bool moves = Chance(0.3);
  if (!moves) {
    *worker = std::move(next);
    Register(worker->info, MsBetween(0, 2000));
    return;
  }
  const Endpoint earlier = worker->info.endpoint;
  next.info.endpoint = {"10.0.0.2", static_cast<uint16_t>(1000 + next_worker_++)};
  workers_.erase(earlier);
  Register(next.info, MsBetween(0, 2000));
  workers_[next.info.endpoint] = std::move(next);
  if (Chance(0.5)) AddWorkerAt(earlier);
}

// The worker goes silent and starts again where it was. It is cut off soon after, mostly before its
// registration tells the owner.
void SimulatedFleet::Recut(SimulatedWorker* worker) {
  if (now_ < worker->silent_until) return;
  const Duration down = MsBetween(50, 1500);
  worker->silent_until = now_ + down;
  ChangeLater(down, worker->info, [this](SimulatedWorker* it) {
    RestartInPlace(it);
    const Duration back = MsBetween(10, 1500);
    const Duration cut = MsBetween(1000, kLongestCutMs);
    const Duration registered = MsBetween(0, 4000);
    if (Chance(0.5)) it->cut_by_start = cut;
    // A worker that is cut off registers nothing.
    Register(it->info, registered < back ? registered : registered + cut);
    ChangeLater(back, it->info,
                [this, cut](SimulatedWorker* it) { it->silent_until = now_ + cut; });
  });
}

void SimulatedFleet::ChangeLater(Duration delay, const WorkerInfo& info,
                                 const std::function<void(SimulatedWorker*)>& change) {
  At(now_ + delay, [this, info, change] {
    SimulatedWorker* it = WorkerAt(info.endpoint);
    const bool here = it != nullptr && it->info.incarnation == info.incarnation;
    if (here && troubles_.recuts > 0) change(it);
  });
}

void SimulatedFleet::RestartInPlace(SimulatedWorker* worker) {
  SimulatedWorker next;
  next.info = worker->info;
  next.info.draining = false;
  next.info.incarnation = next_incarnation_++;
  next.booted = now_;
  next.clock_rate = worker->clock_rate;
  next.enforces_capacity = worker->enforces_capacity;
  *worker = std::move(next);
}

}  // namespace pomelopond::dispatch
