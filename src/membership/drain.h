// Provides the hosts and failure domains that operators drain, and their effect on a host list.
#ifndef POMELOPOND_MEMBERSHIP_DRAIN_H_
#define POMELOPOND_MEMBERSHIP_DRAIN_H_

#include <set>
#include <string>

#include "membership/host_list.h"

namespace pomelopond::membership {

// What operators have marked for draining.
struct Drains {
  std::set<std::string> hosts;            // ids of drained hosts
  std::set<std::string> failure_domains;  // names of domains whose hosts are all drained

  friend bool operator==(const Drains& a, const Drains& b) {
    return a.hosts == b.hosts && a.failure_domains == b.failure_domains;
  }
};

// Returns `list` with every drained live host marked as leaving.
HostList ApplyDrains(const HostList& list, const Drains& drains);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_DRAIN_H_
