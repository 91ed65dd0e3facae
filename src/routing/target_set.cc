#include "routing/target_set.h"

#include <algorithm>

#include "membership/slot_share.h"

namespace pomelopond::routing {
namespace {

Target* FindIn(std::vector<Target>* list, const Endpoint& endpoint) {
  for (Target& it : *list) {
    if (it.endpoint == endpoint) return &it;
  }
  return nullptr;
}

bool HasAnnouncedLeaving(const TargetSet& targets, const membership::TargetInfo& info) {
  const auto list = targets.find(info.service);
  if (list == targets.end()) return false;
  for (const Target& it : list->second) {
    if (it.endpoint == info.endpoint) return it.announced_leaving;
  }
  return false;
}

}  // namespace

TargetSet UpdateTargets(const TargetSet& current, const membership::HostList& hosts,
                        const std::string& own_host, const std::vector<std::string>& entry_hosts) {
  TargetSet next = current;
  // Marks every target as leaving; the loop below sets the mark anew for targets that the list
  // names.
  for (auto& [service, list] : next) {
    for (Target& it : list) {
      it.leaving = true;
      it.announced_leaving = false;
    }
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
      // Each request in flight uses one connection, so the smaller number limits the requests.
      const int64_t limit = std::min(it.slots, it.connections);
      known->slot_share =
          membership::SlotShare(ToString(it.endpoint), limit, own_host, entry_hosts);
      // An announcement stays in force while the list still shows the host as live, and ends when
      // the list shows the host as leaving.
      known->announced_leaving = !leaving && HasAnnouncedLeaving(current, it);
      known->leaving = leaving || known->announced_leaving;
    }
  }
  for (auto& [service, list] : next) {
    list.erase(std::remove_if(list.begin(), list.end(),
                              [](const Target& it) {
                                // Keeps a target that has announced that it is leaving; otherwise
                                // the next list would add it as live.
                                return it.leaving && !it.announced_leaving && it.in_flight == 0;
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
