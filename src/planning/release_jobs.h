// Jobs that the release in force asks for, against those that a shard has.
#ifndef POMELOPOND_PLANNING_RELEASE_JOBS_H_
#define POMELOPOND_PLANNING_RELEASE_JOBS_H_

#include <string>
#include <vector>

#include "planning/shard_state.h"

namespace pomelopond::planning {

struct ReleaseJobChanges {
  std::vector<JobSpec> accept;      // in the release and not in the shard
  std::vector<std::string> cancel;  // came with an older release and is not in this one
};

// `wanted` are the jobs of release `version` whose home is this shard. Jobs that callers submitted
// are left alone, and so are those of a newer release than this process has yet. Depends on the
// state and the release only, so it is right after any restart.
ReleaseJobChanges CompareWithRelease(const ShardState& state, const std::vector<JobSpec>& wanted,
                                     int64_t version);

// Stops for the tasks on a host that is to be drained, at most `limit`. The tasks resume elsewhere
// from the checkpoints of their stops.
std::vector<Event> DrainHost(const ShardState& state, const std::string& host, size_t limit);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_RELEASE_JOBS_H_
