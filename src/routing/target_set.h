// The targets of each service, kept in step with the host list.
#ifndef POMELOPOND_ROUTING_TARGET_SET_H_
#define POMELOPOND_ROUTING_TARGET_SET_H_

#include <map>
#include <string>
#include <vector>

#include "membership/host_list.h"
#include "routing/target.h"

namespace pomelopond::routing {

// By service.
using TargetSet = std::map<std::string, std::vector<Target>>;

// The set after a new host list: counts and latencies of known targets are kept. A target that is
// not live any more stays as leaving while requests are in flight there. One that announced its
// leaving stays marked until a list shows its host as leaving, gone or absent and a later one as
// live; the announcement comes from the target, so a list that says live is older.
TargetSet UpdateTargets(const TargetSet& current, const membership::HostList& hosts,
                        const std::string& own_host, const std::vector<std::string>& entry_hosts);

// The target at an endpoint, or nullptr.
Target* FindTarget(TargetSet* targets, const std::string& service, const Endpoint& endpoint);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TARGET_SET_H_
