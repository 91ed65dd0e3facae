// Failed and stalled runs: whether the task or the worker is at fault, and which workers are
// suspect.
#ifndef POMELOPOND_DISPATCH_FAILURES_H_
#define POMELOPOND_DISPATCH_FAILURES_H_

#include <string>

#include "base/time.h"
#include "dispatch/job_table.h"
#include "dispatch/placement_request.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// True while the last runs on the worker have failed, so that it may be at fault.
bool IsSuspect(const WorkerState& worker, TimePoint now);

// Records that a run of the step failed on `worker`. Returns true when that counts against the
// worker: a step that has failed on several other workers in the last minute is at fault itself.
bool RecordStepFailure(StepState* step, const std::string& worker, TimePoint now);

// Counts a failed run against the worker, which may make it suspect. The failure of a trial does
// not keep it suspect for longer: tasks that fail everywhere would do so for ever.
void CountFailure(WorkerState* worker, bool trial, TimePoint now);

// A run on the worker is done, so the worker is not at fault.
void ClearSuspicion(WorkerState* worker);

// Records a start on the worker. On a suspect one it is a trial: until the worker completes a run,
// it gets one from time to time, whether its backoff is over or not, and whatever fails there
// meanwhile. `one_by_one`: so is the first start after the backoff, which makes the worker suspect
// again. Returns true for a start on a worker whose last runs have failed.
bool RecordTrial(WorkerState* worker, RunState* run, bool one_by_one, TimePoint now);

// True when the task may start on a suspect worker now. Each failure there costs an attempt, so the
// last one is kept for another worker, and no task, or gang, fails on the same one twice.
bool MayTry(const WorkerState& worker, const PlacementRequest& request, TimePoint now);

// Updates the progress of a run from a report that covers at most `covered`. A silent worker may
// have gone on with its runs, so the time before a late report doesn't count in full.
void UpdateProgress(RunState* run, int percent, Duration covered, TimePoint now);

// True when the run has made no progress for so long that its task does better on another worker.
// `expected_ms` is the expected duration of the task.
bool IsStalled(const RunState& run, const jobs::Step& step, double expected_ms);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_FAILURES_H_
