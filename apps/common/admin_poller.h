// Polls the admin process of this host for the current release and host list, on behalf of another
// process of the host.
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

// Time between two polls of the admin, which go over loopback.
inline constexpr Duration kAdminPollInterval = std::chrono::milliseconds(200);

// Holds the newest release and host list received and asks the admin for newer versions only. Not
// thread-safe.
class AdminPoller {
 public:
  // `program` and `incarnation` identify this process to the admin, which tracks the versions that
  // each process holds.
  AdminPoller(const Endpoint& admin, std::string program, uint64_t incarnation);

  // Polls the admin once. Returns true if the admin answered both requests with valid documents.
  // A version older than the one held is ignored.
  bool Poll(Duration timeout);

  const release::Release& release() const { return release_; }
  // Returns the host list with the drains of the release applied.
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
