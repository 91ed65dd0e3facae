// Makes room for urgent tasks by stopping runs of less urgent jobs.
#ifndef POMELOPOND_DISPATCH_PREEMPTION_H_
#define POMELOPOND_DISPATCH_PREEMPTION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/choose_worker.h"

namespace pomelopond::dispatch {

// Room that runs which are being stopped will leave, and that waiting tasks count on already.
using ReservedCapacity = std::map<std::string, Resources>;

struct Preemption {
  std::string worker;
  std::vector<RunId> victims;  // empty: runs that are being stopped leave enough room
};

// The worker where a task of `priority` finds room with the least work lost, with the runs to stop
// there; nothing when no set of less urgent runs makes enough room. Adds the task to `claimed`.
std::optional<Preemption> ChoosePreemption(const std::map<std::string, WorkerState>& workers,
                                           const PlacementRequest& request, int priority,
                                           ReservedCapacity* reserved, TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_PREEMPTION_H_
