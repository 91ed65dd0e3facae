#include "routing/target_set.h"

#include <algorithm>
#include <set>

#include "membership/slot_share.h"

namespace pomelopond::routing {
namespace {

Target* FindIn(std::vector<Target>* list, const Endpoint& endpoint) {
  for (Target& it : *list) {
    if (it.endpoint == endpoint) return &it;
  }
  return nullptr;
}

}  // namespace

TargetSet UpdateTargets(const TargetSet& current, const membership::HostList& hosts,
                        const std::string& own_host, const std::vector<std::string>& entry_hosts) {
  TargetSet next = current;
  std::set<Endpoint> listed_live;
  for (auto& [service, list] : next) {
    for (Target& it : list) it.leaving = true;
  }
  for (const auto& [id, host] : hosts.hosts) {
    for (const membership::TargetInfo& it : host.targets) {
      std::vector<Target>& list = next[it.service];
      Target* known = FindIn(&list, it.endpoint);
      const bool leaving = host.state != membership::HostState::kLive;
      if (known == nullptr && leaving) continue;
      if (known == nullptr) known = &list.emplace_back();
      known->host = id;
      known->failure_domain = host.failure_domain;
      known->endpoint = it.endpoint;
      // One request at a time uses one connection, so the smaller of both bounds them.
      const int64_t limit = std::min(it.slots, it.connections);
      known->share = membership::SlotShare(ToString(it.endpoint), limit, own_host, entry_hosts);
      // A list that lags still says "live"; only one that says otherwise ends the target's own
      // word.
      known->leaving = leaving || known->said_leaving;
      if (!leaving) listed_live.insert(it.endpoint);
    }
  }
  for (auto& [service, list] : next) {
    for (Target& it : list) it.said_leaving = it.said_leaving && listed_live.count(it.endpoint) > 0;
    list.erase(std::remove_if(list.begin(), list.end(),
                              [](const Target& it) {
                                return it.leaving && !it.said_leaving && it.in_flight == 0;
                              }),
               list.end());
  }
  return next;
}

Target* FindTarget(TargetSet* targets, const std::string& service, const Endpoint& endpoint) {
  const auto it = targets->find(service);
  return it == targets->end() ? nullptr : FindIn(&it->second, endpoint);
}

}  // namespace pomelopond::routing
