// Checks of tasks by the worker stand-ins' own records, never by the scheduler's word.
#ifndef POMELOPOND_TESTS_SUPPORT_RUNS_H_
#define POMELOPOND_TESTS_SUPPORT_RUNS_H_

#include <map>
#include <string>
#include <vector>

#include "tests/support/cluster.h"

namespace pomelopond::support {

// True when `job` (the answer of GET /v1/jobs/<id>) has tasks and all are in `state`.
bool AllTasksAre(const std::string& state, const Json& job);

// Tasks of which two runs overlapped in time, on any workers.
std::vector<std::string> OverlappingRuns(const Cluster& cluster);

// How often each task was started, over all workers.
std::map<std::string, int> StartsByTask(const Cluster& cluster);

// True when no worker ever used more than its capacity.
bool CapacityHeld(const Cluster& cluster);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_RUNS_H_
