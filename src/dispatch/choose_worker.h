// Choice of the worker that runs a task.
#ifndef POMELOPOND_DISPATCH_CHOOSE_WORKER_H_
#define POMELOPOND_DISPATCH_CHOOSE_WORKER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatch/colocation.h"
#include "dispatch/job_table.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// What a placement needs to know beside the workers.
struct PlacementRequest {
  std::string service;
  const jobs::Step* step = nullptr;
  const StepState* state = nullptr;  // for the limit of tasks of the step on one worker
  const TaskState* task = nullptr;   // workers where it failed come last; may be null
  const ColocationModel* colocation = nullptr;
  const StepPermits* permits = nullptr;  // when set, only workers with a permit
  std::string rack;                      // when set, only workers of this rack
};

// True when the worker takes new tasks at all.
bool AcceptsTasks(const WorkerState& worker, TimePoint now);

// True when the worker may run the task, whether it has room or not.
bool IsEligible(const WorkerState& worker, const PlacementRequest& request, TimePoint now);

// What one task of the step counts against a worker's capacity.
Resources StepReservation(const jobs::Step& step);

// The best worker with room for one task, or null. Tasks that count against the capacity spread
// over the emptiest workers; filling tasks go where the most processor time is left over and no
// task that serves users is expected to miss its target.
WorkerState* ChooseWorker(std::map<std::string, WorkerState>* workers,
                          const PlacementRequest& request, TimePoint now);

// The racks of the workers that may run the task, those with most room first.
std::vector<std::string> RacksByFreeCapacity(const std::map<std::string, WorkerState>& workers,
                                             const PlacementRequest& request, TimePoint now);

// True when the workers of some rack could hold all tasks of the step if nothing else ran there.
bool FitsOneRack(const std::map<std::string, WorkerState>& workers,
                 const PlacementRequest& request);

// The workers to ask permits for: those without a decision that may run the task otherwise, the
// best ones with room first, at most `most`.
std::vector<std::pair<std::string, int64_t>> PermitCandidates(
    const std::map<std::string, WorkerState>& workers, const PlacementRequest& request, size_t most,
    TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_CHOOSE_WORKER_H_
