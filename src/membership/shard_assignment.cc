#include "membership/shard_assignment.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "membership/rendezvous.h"

namespace pomelopond::membership {

std::string ShardOf(const HostInfo& host) { return host.failure_domain + "." + host.rack; }

std::set<std::string> ShardsOf(const HostList& list) {
  std::set<std::string> shards;
  for (const auto& [id, host] : list.hosts) shards.insert(ShardOf(host));
  return shards;
}

std::map<std::string, std::string> AssignShards(const std::set<std::string>& shards,
                                                const std::set<std::string>& members) {
  std::map<std::string, std::string> table;
  if (members.empty()) return table;
  // Takes the pairs in order of decreasing weight, so that after the loss of a member the later
  // choices depend only on the pairs of that member.
  std::vector<std::tuple<uint64_t, std::string, std::string>> pairs;
  for (const std::string& shard : shards) {
    for (const std::string& member : members) {
      pairs.emplace_back(RendezvousWeight(shard, member), shard, member);
    }
  }
  std::sort(pairs.rbegin(), pairs.rend());
  const size_t max_shards = (shards.size() + members.size() - 1) / members.size();
  std::map<std::string, size_t> load;
  for (const auto& [weight, shard, member] : pairs) {
    if (table.count(shard) != 0 || load[member] >= max_shards) continue;
    table[shard] = member;
    load[member] += 1;
  }
  return table;
}

}  // namespace pomelopond::membership
