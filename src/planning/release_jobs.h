// Compares the jobs of a shard with those of the release in force, and stops the tasks of a host
// that is drained.
#ifndef POMELOPOND_PLANNING_RELEASE_JOBS_H_
#define POMELOPOND_PLANNING_RELEASE_JOBS_H_

#include <string>
#include <vector>

#include "planning/shard_state.h"

namespace pomelopond::planning {

struct ReleaseJobChanges {
  std::vector<JobSpec> accept;      // jobs of the release that the shard does not have
  std::vector<std::string> cancel;  // jobs of an older release that this one does not have
};

// Returns the changes that bring the shard in line with release `version`. `wanted` are the jobs of
// the release whose home is this shard. Jobs that callers submitted are left alone, and so are jobs
// of a release newer than `version`, which this process does not have yet. The result depends on
// the state and the release only, so it is correct after any restart.
ReleaseJobChanges CompareWithRelease(const ShardState& state, const std::vector<JobSpec>& wanted,
                                     int64_t version);

// Returns stop events for at most `limit` running tasks on a host that is drained. The tasks resume
// on other hosts from the checkpoints taken when they stop.
std::vector<Event> DrainHost(const ShardState& state, const std::string& host, size_t limit);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_RELEASE_JOBS_H_
