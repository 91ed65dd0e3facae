// An IP address and port.
#ifndef POMELOPOND_BASE_ENDPOINT_H_
#define POMELOPOND_BASE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

#include "base/result.h"

namespace pomelopond {

struct Endpoint {
  std::string address;
  uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.port == b.port && a.address == b.address;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) { return !(a == b); }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return std::tie(a.address, a.port) < std::tie(b.address, b.port);
  }
};

// Parses "127.0.0.1:8080". Host names are refused (kBadEndpoint), because processes talk by IP
// number.
Result<Endpoint> ParseEndpoint(std::string_view text);

std::string ToString(const Endpoint& endpoint);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_ENDPOINT_H_
