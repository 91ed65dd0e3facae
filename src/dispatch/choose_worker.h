// Selection of the worker that runs a task.
#ifndef POMELOPOND_DISPATCH_CHOOSE_WORKER_H_
#define POMELOPOND_DISPATCH_CHOOSE_WORKER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatch/placement_request.h"
#include "dispatch/worker_index.h"
#include "dispatch/worker_score.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// True when the worker is registered and stays, so that it may get new tasks, now or later.
bool IsMember(const WorkerState& worker, TimePoint now);

// True while the worker is slow because it is cold.
bool IsCold(const WorkerState& worker, TimePoint now);

// True when the worker accepts new tasks of any kind.
bool AcceptsTasks(const WorkerState& worker, TimePoint now);

// True when the worker may run the task, regardless of its free capacity.
bool IsEligible(const WorkerState& worker, const PlacementRequest& request, TimePoint now);

// What keeps a task off a worker: the first condition that does not hold.
enum class Obstacle {
  kNone,
  kUnavailable,   // the worker accepts no tasks at present
  kIneligible,    // another service or rack, a label, a permit or a limit
  kReservation,   // too little memory, accelerators or unreserved processor time
  kProcessor,     // others have requested the processor time
  kTail,          // a tail is too long
  kExpectedTail,  // a tail would become too long
};

Obstacle ObstacleOn(const WorkerState& worker, const PlacementRequest& request, TimePoint now);

// Number of the service's workers by what keeps the task off them.
std::map<Obstacle, int> CountObstacles(const std::map<std::string, WorkerState>& workers,
                                       const PlacementRequest& request, TimePoint now);

// Processor time of a service's workers, in thousandths of a core, that best-effort tasks may use.
struct SpareProcessor {
  int64_t most = 0;      // on one worker, at the begin of the placement
  int64_t capacity = 0;  // of the members
  int64_t reserved = 0;  // on the members
  // The same without members whose failure domain is evacuated.
  int64_t open_capacity = 0;
  int64_t open_reserved = 0;
  int64_t left = 0;    // not reserved, or reserved and left unused, on those that accept tasks
  int64_t in_use = 0;  // of that, by best-effort runs, and what this placement has added
  bool short_of_first_runs = false;  // a first run has found no worker in this placement
  // A task of a job on time that some worker could run when it is empty has found no worker.
  bool wanted = false;
};

// True while so little of the service's processor time is reserved, on all members or on those that
// are not evacuated, that each idle job is to get a run, even if best-effort tasks have requested
// the rest.
bool IsUnderused(const SpareProcessor& spare);

// True while best-effort runs use so little of what is left that another one of `cpu_milli` takes
// nothing from others, whatever they have requested.
bool HasUnusedProcessor(const SpareProcessor& spare, int64_t cpu_milli);

// True when a worker could run the step's tasks if it were empty.
bool FitsEmptyWorker(const std::map<std::string, WorkerState>& workers, const std::string& service,
                     const jobs::Step& step, TimePoint now);

// By service. In a decision spare processor time only shrinks.
std::map<std::string, SpareProcessor> SpareProcessors(
    const std::map<std::string, WorkerState>& workers, TimePoint now);

// Returns the best worker with free capacity for one task, or null. Of otherwise equal workers,
// tasks with a reservation but no tail target go to the emptiest one, and tasks with a tail target
// to the fullest one. Best-effort tasks go to the worker with the most spare processor time on
// which no latency-critical task is expected to miss its tail target.
WorkerState* ChooseWorker(const WorkerIndex& index, const PlacementRequest& request, TimePoint now);

// Returns ids and incarnations of the workers to name in a permit order: eligible workers without a
// decision of the policy service, best ones with free capacity first, at most `most`.
std::vector<std::pair<std::string, int64_t>> PermitCandidates(
    const std::map<std::string, WorkerState>& workers, const PlacementRequest& request, size_t most,
    TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_CHOOSE_WORKER_H_
