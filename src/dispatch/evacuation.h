// Evacuation of failure domains: what runs there, and which runs may move.
#ifndef POMELOPOND_DISPATCH_EVACUATION_H_
#define POMELOPOND_DISPATCH_EVACUATION_H_

#include <map>
#include <string>

#include "base/time.h"
#include "dispatch/job_table.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// Number of runs in evacuated domains, by what becomes of them.
struct EvacuationRuns {
  int perpetual = 0;
  int checkpointed = 0;
  int others = 0;    // run to their end
  int stopping = 0;  // of any kind

  int Total() const { return perpetual + checkpointed + others + stopping; }
};

// Adds the runs of the worker.
void CountEvacuationRuns(const WorkerState& worker, EvacuationRuns* runs);

// What became of the runs that might have moved in the last round of moves.
struct EvacuationRound {
  int moved = 0;
  int without_room = 0;    // no other worker has room
  int at_limit = 0;        // too many tasks of the step are unavailable already
  int behind_waiting = 0;  // waiting tasks want the room
};

// A run that was told to stop so that its task goes on elsewhere.
struct EvacuationMove {
  std::string from;  // worker of the run
  RunId run;
  std::string to;  // worker that had room for the task
};

// True when the scheduler may make the task of a perpetual step unavailable: few enough of the
// step's other tasks are, for any cause.
bool MayBecomeUnavailable(const JobEntry& entry, const jobs::TaskId& id);

// Records a start on the worker. A cold worker accepts the next one only as its service's rate of
// cold starts permits.
void LimitColdStarts(WorkerState* worker, const std::map<std::string, double>& rates,
                     TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_EVACUATION_H_
