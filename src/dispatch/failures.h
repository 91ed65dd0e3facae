// Failed and stalled runs: whether the task or the worker is at fault, and which workers are
// suspect.
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

// Records a start on the worker. If the last runs there have failed, it is a trial: until the
// worker completes a run, it gets one from time to time, whether its backoff is over or not.
// Returns true for a trial.
bool RecordTrial(WorkerState* worker, bool perpetual, TimePoint now);

// Updates the progress of a run from a report that covers at most `covered`. A silent worker may
// have gone on with its runs, so the time before a late report doesn't count in full.
void UpdateProgress(RunState* run, int percent, Duration covered, TimePoint now);

// True when the run has made no progress for so long that its task does better on another worker.
// `expected_ms` is the expected duration of the task.
bool IsStalled(const RunState& run, const jobs::Step& step, double expected_ms);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_FAILURES_H_
