// Failed runs: whether the task or the worker is at fault, and which workers are suspect.
#ifndef POMELOPOND_DISPATCH_FAILURES_H_
#define POMELOPOND_DISPATCH_FAILURES_H_

#include <string>

#include "base/time.h"
#include "dispatch/job_table.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// Records that a run of the step failed on `worker` after `took`. Returns true when that counts
// against the worker.
bool RecordStepFailure(StepState* step, const std::string& worker, Duration took);

// Counts a failed run against the worker, which may make it suspect.
void CountFailure(WorkerState* worker, TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_FAILURES_H_
