// The durable state of a shard and the effect of each event on it.
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
  // Derived from `tasks`, so that a decision does not scan them all.
  std::map<std::string, std::set<std::string>> tasks_by_host;  // by host
  std::map<std::string, Resources> granted_by_host;            // by host

  friend bool operator==(const ShardState& a, const ShardState& b) {
    return a.jobs == b.jobs && a.tasks == b.tasks && a.tasks_by_host == b.tasks_by_host &&
           a.granted_by_host == b.granted_by_host;
  }
};

// Applies an event. Events that do not fit the state (unknown task, old attempt, a second accept)
// change nothing, so replaying a journal is idempotent. Returns whether anything changed.
bool Apply(ShardState* state, const Event& event);

// Resources granted on a host.
Resources GrantedOn(const ShardState& state, const std::string& host);

std::string EncodeSnapshot(const ShardState& state);
// Fails with kStoreBadAnswer.
Result<ShardState> DecodeSnapshot(const std::string& bytes);

// Rebuilds the state from a snapshot (may be empty) and the records after it.
Result<ShardState> Rebuild(const std::string& snapshot, const std::vector<std::string>& records);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_SHARD_STATE_H_
