// What a task asks of a worker.
#ifndef POMELOPOND_DISPATCH_PLACEMENT_REQUEST_H_
#define POMELOPOND_DISPATCH_PLACEMENT_REQUEST_H_

#include <cstdint>
#include <limits>
#include <string>

#include "base/resources.h"
#include "dispatch/colocation.h"
#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

// Input of a placement besides the workers.
struct PlacementRequest {
  std::string service;
  const jobs::Step* step = nullptr;
  const StepState* state = nullptr;  // for the limit of tasks of the step per worker
  const TaskState* task = nullptr;   // workers on which it failed are a last resort; may be null
  const ColocationModel* colocation = nullptr;
  // Of the step's image, if it is a best-effort one. Null: looked up in the model for each worker.
  const ImageSlowdowns* slowdowns = nullptr;
  const StepPermits* permits = nullptr;  // if set, only workers with a valid permit are eligible
  std::string rack;                      // if set, only workers of this rack are eligible
  bool avoids_slow = false;              // slow workers are not eligible
  bool avoids_suspect = false;           // suspect workers are not eligible
  int attempts_left = std::numeric_limits<int>::max();  // of the task, or of the gang
  // A best-effort task may start where others have requested all processor time.
  bool shares_processor = false;
  // Highest ratios of tail latency to target, as reported and as expected with the task, beside
  // which a best-effort task starts.
  double max_tail = kHighTailRatio;
  double max_expected_tail = kMaxExpectedTailRatio;
  int64_t* looks = nullptr;  // counts the workers that are looked at; may be null
};

// Amount that one task of the step reserves of a worker's capacity. Best-effort tasks reserve no
// processor time.
Resources StepReservation(const jobs::Step& step);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_PLACEMENT_REQUEST_H_
