// Provides the division of a target's slots among the routers.
#ifndef POMELOPOND_MEMBERSHIP_SLOT_SHARE_H_
#define POMELOPOND_MEMBERSHIP_SLOT_SHARE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace pomelopond::membership {

// Returns how many of the `slots` of `target` the router on `host` may use. `hosts` lists all entry
// hosts in the settings; a host that is not among them gets 0. The shares of all hosts sum to
// `slots`; the remainder of an uneven division goes to different hosts for different targets.
int64_t SlotShare(const std::string& target, int64_t slots, const std::string& host,
                  const std::vector<std::string>& hosts);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_SLOT_SHARE_H_
