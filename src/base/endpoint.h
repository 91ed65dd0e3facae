// An IPv4 address with a port, and its text form.
#ifndef POMELOPOND_BASE_ENDPOINT_H_
#define POMELOPOND_BASE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "base/result.h"

namespace pomelopond {

struct Endpoint {
  std::string address;  // dotted-decimal IPv4 address
  uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.port == b.port && a.address == b.address;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) { return !(a == b); }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.address, a.port) < std::tie(b.address, b.port);
  }
};

// Parses an endpoint such as "127.0.0.1:8080". Fails with kBadEndpoint on host names, because
// processes address each other only by IP address.
Result<Endpoint> ParseEndpoint(std::string_view text);

std::string ToString(const Endpoint& endpoint);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_ENDPOINT_H_
