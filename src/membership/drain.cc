#include "membership/drain.h"

namespace pomelopond::membership {

HostList ApplyDrains(const HostList& list, const Drains& drains) {
  HostList result = list;
  for (auto& [id, host] : result.hosts) {
    const bool drained =
        drains.hosts.count(id) != 0 || drains.failure_domains.count(host.failure_domain) != 0;
    if (drained && host.state == HostState::kLive) host.state = HostState::kLeaving;
  }
  return result;
}

}  // namespace pomelopond::membership
