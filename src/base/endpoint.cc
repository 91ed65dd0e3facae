#include "base/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

#include "base/result_code.h"

namespace pomelopond {

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return {ResultCode::kBadEndpoint, {}};
  Endpoint endpoint;
  endpoint.address = std::string(text.substr(0, colon));
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
  in_addr ignored{};
  const bool bad_port = ec != std::errc() || end != digits.data() + digits.size() || digits.empty();
  if (bad_port || endpoint.port == 0 ||
      inet_pton(AF_INET, endpoint.address.c_str(), &ignored) != 1) {
    return {ResultCode::kBadEndpoint, {}};
  }
  return {{}, endpoint};
}

std::string ToString(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

}  // namespace pomelopond
