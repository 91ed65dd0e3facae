// SilencingRelay forwards TCP connections to a server and can make the established ones silent, as
// a network does that loses the state of its connections: bytes are lost in both directions, and
// neither side is told.
#ifndef POMELOPOND_TESTS_PLATFORM_SILENCING_RELAY_H_
#define POMELOPOND_TESTS_PLATFORM_SILENCING_RELAY_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>
#include <vector>

#include "base/endpoint.h"

namespace pomelopond::platform {

class SilencingRelay {
 public:
  SilencingRelay(const Endpoint& from, const Endpoint& to)
      : to_(AddressOf(to)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = AddressOf(from);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const int ec = bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (ec != 0 || listen(listener_, kBacklog) != 0) std::abort();
    thread_ = std::thread([this] { Run(); });
  }

  ~SilencingRelay() {
    stopping_.store(true);
    thread_.join();
    for (const Link& it : links_) Close(it);
    close(listener_);
  }

  SilencingRelay(const SilencingRelay&) = delete;
  SilencingRelay& operator=(const SilencingRelay&) = delete;

  // Makes all established connections silent for good. Later ones work.
  void Silence() { silence_due_.store(true); }

  int silenced() const { return silenced_.load(); }
  // Silent connections that the client has not closed.
  int open_silent() const { return open_silent_.load(); }

 private:
  static constexpr int kBacklog = 64;
  static constexpr int kPollMs = 5;

  struct Link {
    int client = -1;
    int server = -1;
    bool silent = false;
    bool closed = false;
  };

  static sockaddr_in AddressOf(const Endpoint& endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
  }

  static void Close(const Link& link) {
    close(link.client);
    close(link.server);
  }

  void Run() {
    while (!stopping_.load()) {
      if (silence_due_.exchange(false)) SilenceLinks();
      std::vector<pollfd> fds = {{listener_, POLLIN, 0}};
      for (const Link& it : links_) {
        fds.push_back({it.client, POLLIN, 0});
        fds.push_back({it.server, POLLIN, 0});
      }
      if (poll(fds.data(), fds.size(), kPollMs) <= 0) continue;
      for (size_t n = 0; n < links_.size(); ++n) {
        if (fds[2 * n + 1].revents != 0) Forward(&links_[n], links_[n].client, links_[n].server);
        if (fds[2 * n + 2].revents != 0) Forward(&links_[n], links_[n].server, links_[n].client);
      }
      RemoveClosedLinks();
      if (fds[0].revents != 0) Accept();
    }
  }

  void SilenceLinks() {
    for (Link& it : links_) it.silent = true;
    silenced_.store(static_cast<int>(links_.size()));
    open_silent_.store(silenced_.load());
  }

  void Accept() {
    Link link;
    link.client = accept(listener_, nullptr, nullptr);
    link.server = socket(AF_INET, SOCK_STREAM, 0);
    const int ec = connect(link.server, reinterpret_cast<const sockaddr*>(&to_), sizeof(to_));
    if (ec != 0) return Close(link);
    links_.push_back(link);
  }

  static void Forward(Link* link, int from, int to) {
    if (link->closed) return;
    char buf[16384];
    const ssize_t n = recv(from, buf, sizeof(buf), MSG_DONTWAIT);
    link->closed = n <= 0;
    if (n > 0 && !link->silent) send(to, buf, static_cast<size_t>(n), MSG_NOSIGNAL);
  }

  void RemoveClosedLinks() {
    for (const Link& it : links_) {
      if (!it.closed) continue;
      if (it.silent) open_silent_ -= 1;
      Close(it);
    }
    links_.erase(
        std::remove_if(links_.begin(), links_.end(), [](const Link& it) { return it.closed; }),
        links_.end());
  }

  const sockaddr_in to_;
  const int listener_;
  std::vector<Link> links_;  // only the thread accesses it until it ends
  std::atomic<bool> stopping_{false};
  std::atomic<bool> silence_due_{false};
  std::atomic<int> silenced_{0};
  std::atomic<int> open_silent_{0};
  std::thread thread_;
};

}  // namespace pomelopond::platform

#endif  // POMELOPOND_TESTS_PLATFORM_SILENCING_RELAY_H_
