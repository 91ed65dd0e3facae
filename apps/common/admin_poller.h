// Release and host list as the admin of this host gives them to the other processes of the host.
#ifndef POMELOPOND_APPS_COMMON_ADMIN_POLLER_H_
#define POMELOPOND_APPS_COMMON_ADMIN_POLLER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "membership/host_list.h"
#include "peer/peer_client.h"
#include "release/release.h"

namespace pomelopond::apps {

// How often a process asks its admin, over loopback.
inline constexpr Duration kAdminPollInterval = std::chrono::milliseconds(200);

// Asks the admin for what is newer than this process has. Not thread-safe.
class AdminPoller {
 public:
  // `program` and `incarnation` tell the admin who holds which version.
  AdminPoller(const Endpoint& admin, std::string program, uint64_t incarnation);

  // Asks once; true when the admin answered. Versions never go back.
  bool Poll(Duration timeout);

  const release::Release& release() const { return release_; }
  // The host list with the drains of the release applied.
  membership::HostList hosts() const {
    return membership::ApplyDrains(hosts_, release::DrainsOf(release_));
  }

 private:
  bool PollRelease(Duration timeout);
  bool PollHosts(Duration timeout);

  peer::PeerClient client_;
  std::string program_;
  uint64_t incarnation_;
  release::Release release_;
  membership::HostList hosts_;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_COMMON_ADMIN_POLLER_H_
