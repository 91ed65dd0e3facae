// Provides the targets of each service and their update from the host list.
#ifndef POMELOPOND_ROUTING_TARGET_SET_H_
#define POMELOPOND_ROUTING_TARGET_SET_H_

#include <map>
#include <string>
#include <vector>

#include "membership/host_list.h"
#include "routing/target.h"

namespace pomelopond::routing {

// The targets of each service, by service name.
using TargetSet = std::map<std::string, std::vector<Target>>;

// Returns the target set after a new host list. Known targets keep their counts and latencies. A
// target that is no longer live stays in the set as leaving while requests are in flight at it. A
// target that has announced that it is leaving stays marked until one list shows its host as
// leaving, gone or absent and a later list shows the host as live: the announcement comes from the
// target itself, so a list that still shows the host as live is older. `own_host` is the host of
// this router and `entry_hosts` lists the hosts of all routers; they determine the slot share of
// each target.
TargetSet UpdateTargets(const TargetSet& current, const membership::HostList& hosts,
                        const std::string& own_host, const std::vector<std::string>& entry_hosts);

// Returns the target of `service` at `endpoint`, or nullptr when the set has none.
Target* FindTarget(TargetSet* targets, const std::string& service, const Endpoint& endpoint);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_SET_H_
