// Provides the assignment of shards to live schedulers, which needs no leader.
#ifndef POMELOPOND_MEMBERSHIP_SHARD_ASSIGNMENT_H_
#define POMELOPOND_MEMBERSHIP_SHARD_ASSIGNMENT_H_

#include <map>
#include <set>
#include <string>

#include "membership/host_list.h"

namespace pomelopond::membership {

// Returns the name of the shard of a host: "<failure domain>.<rack>".
std::string ShardOf(const HostInfo& host);

// Returns the names of all shards of a host list.
std::set<std::string> ShardsOf(const HostList& list);

// Returns the member that should own each shard, by shard. Uses rendezvous hashing with at most
// ceil(shards / members) shards per member. Processes with the same member list compute the same
// table; processes with different member lists do no harm, since the compare-and-swap in the store
// decides ownership.
std::map<std::string, std::string> AssignShards(const std::set<std::string>& shards,
                                                const std::set<std::string>& members);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_SHARD_ASSIGNMENT_H_
