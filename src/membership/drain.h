// Hosts and failure domains that operators drain.
#ifndef POMELOPOND_MEMBERSHIP_DRAIN_H_
#define POMELOPOND_MEMBERSHIP_DRAIN_H_

#include <set>
#include <string>

#include "membership/host_list.h"

namespace pomelopond::membership {

struct Drains {
  std::set<std::string> hosts;
  std::set<std::string> failure_domains;

  friend bool operator==(const Drains& a, const Drains& b) {
    return a.hosts == b.hosts && a.failure_domains == b.failure_domains;
  }
};

// The list with every live host that is drained marked as leaving.
HostList ApplyDrains(const HostList& list, const Drains& drains);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_DRAIN_H_
