// Assignment of shards to live schedulers without a leader.
#ifndef POMELOPOND_MEMBERSHIP_SHARD_ASSIGNMENT_H_
#define POMELOPOND_MEMBERSHIP_SHARD_ASSIGNMENT_H_

#include <map>
#include <set>
#include <string>

#include "membership/host_list.h"

namespace pomelopond::membership {

// The shard of a host: its rack, qualified by the failure domain.
std::string ShardOf(const HostInfo& host);

// All shards of a host list.
std::set<std::string> ShardsOf(const HostList& list);

// The member that should own each shard: rendezvous hashing with at most
// ceil(shards / members) shards a member. Every process that has the same member list computes the
// same table; differing views are harmless, since the store's compare-and-swap decides ownership.
std::map<std::string, std::string> AssignShards(const std::set<std::string>& shards,
                                                const std::set<std::string>& members);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_SHARD_ASSIGNMENT_H_
