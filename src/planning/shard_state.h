// The durable state of a shard, the effect of each event on it, and its snapshots.
#ifndef POMELOPOND_PLANNING_SHARD_STATE_H_
#define POMELOPOND_PLANNING_SHARD_STATE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "planning/event.h"
#include "planning/task.h"

namespace pomelopond::planning {

struct ShardState {
  std::map<std::string, JobSpec> jobs;
  std::map<std::string, Task> tasks;
  // Derived from `tasks`, so that a decision does not scan all tasks.
  std::map<std::string, std::set<std::string>> tasks_by_host;  // by host
  std::map<std::string, Resources> granted_by_host;            // by host

  friend bool operator==(const ShardState& a, const ShardState& b) {
    return a.jobs == b.jobs && a.tasks == b.tasks && a.tasks_by_host == b.tasks_by_host &&
           a.granted_by_host == b.granted_by_host;
  }
};

// Applies an event and returns whether it changed the state. Events that do not fit the state (an
// unknown task, an old attempt, a job accepted twice) change nothing, so replaying a journal is
// idempotent.
bool Apply(ShardState* state, const Event& event);

// Returns the resources granted to tasks on a host.
Resources GrantedOn(const ShardState& state, const std::string& host);

std::string EncodeSnapshot(const ShardState& state);
// Decodes a snapshot made by EncodeSnapshot. Fails with kStoreBadAnswer if it is malformed.
Result<ShardState> DecodeSnapshot(const std::string& bytes);

// Rebuilds the state from a snapshot, which may be empty, and the journal records after it. Fails
// with kStoreBadAnswer if one of them is malformed.
Result<ShardState> Rebuild(const std::string& snapshot, const std::vector<std::string>& records);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_SHARD_STATE_H_
