// Preemption: stops runs of lower priority to free capacity for tasks of higher priority.
#ifndef POMELOPOND_DISPATCH_PREEMPTION_H_
#define POMELOPOND_DISPATCH_PREEMPTION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/choose_worker.h"

namespace pomelopond::dispatch {

// Core-seconds of work that are lost when the run is stopped.
double LostWork(const RunState& run, TimePoint now);

// Capacity by worker id that waiting tasks have reserved, including capacity that stopping runs
// will free.
using ReservedCapacity = std::map<std::string, Resources>;

// Highest amounts of each resource that a worker of the service which accepts tasks has free or can
// free for a task of `priority`. A task that needs more of one finds no worker.
Resources MostRoom(const std::map<std::string, WorkerState>& workers, const std::string& service,
                   int priority, TimePoint now);

struct Preemption {
  std::string worker;
  // Runs to stop. Empty when runs that are already stopping free enough capacity.
  std::vector<RunId> victims;
};

// Returns the worker that can make room for a task of `priority` at the least loss of work, with
// the runs to stop there, or nothing when runs of lower priority cannot free enough capacity on any
// worker. Adds the task to `reserved`.
std::optional<Preemption> ChoosePreemption(const std::map<std::string, WorkerState>& workers,
                                           const PlacementRequest& request, int priority,
                                           ReservedCapacity* reserved, TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_PREEMPTION_H_
