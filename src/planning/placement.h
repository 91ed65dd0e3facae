// Choice of a host for each waiting task of a shard.
#ifndef POMELOPOND_PLANNING_PLACEMENT_H_
#define POMELOPOND_PLANNING_PLACEMENT_H_

#include <map>
#include <string>
#include <vector>

#include "planning/event.h"
#include "planning/shard_state.h"

namespace pomelopond::planning {

// A worker host as placement sees it.
struct HostRoom {
  std::string id;
  Resources capacity;
  bool usable = false;  // live, not draining, and has answered at the owner's epoch
};

// Grants for waiting tasks, highest rank first, at most `limit`. Never grants more than a host's
// capacity, counting all that the state has granted there.
std::vector<Event> PlaceTasks(const ShardState& state, const std::vector<HostRoom>& hosts,
                              size_t limit);

// True when a task of the job fits on some host of the list when that host is empty.
bool CanEverRun(const JobSpec& spec, const std::vector<HostRoom>& hosts);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_PLACEMENT_H_
