// Provides checks of task runs. All but AllTasksAre() use the records of the fake workers, so that
// they do not rely on the scheduler's own reports.
#ifndef POMELOPOND_TESTS_SUPPORT_RUNS_H_
#define POMELOPOND_TESTS_SUPPORT_RUNS_H_

#include <map>
#include <string>
#include <vector>

#include "tests/support/cluster.h"

namespace pomelopond::support {

// Returns true if `job`, the answer of GET /v1/jobs/<id>, has tasks and all of them are in `state`.
bool AllTasksAre(const std::string& state, const Json& job);

// Returns the tasks of which two runs overlapped in time, on the same or different workers.
std::vector<std::string> OverlappingRuns(const Cluster& cluster);

// Returns how often each task was started, over all workers.
std::map<std::string, int> StartsByTask(const Cluster& cluster);

// Returns true if no worker ever used more than its capacity.
bool CapacityHeld(const Cluster& cluster);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_RUNS_H_
