// What the source files of Router share for sending a request on.
#ifndef POMELOPOND_APPS_ROUTER_FORWARDING_H_
#define POMELOPOND_APPS_ROUTER_FORWARDING_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"
#include "http/http_message.h"

namespace pomelopond::apps {

inline constexpr const char* kServicePrefix = "/v1/services/";

// Headers that apply to a single connection or that the router sets itself. They are not forwarded.
inline constexpr const char* kUnforwardedHeaders[] = {"Connection",          "Host",
                                                      "Content-Length",      "Keep-Alive",
                                                      "Transfer-Encoding",   http::kForwardedHeader,
                                                      http::kRequestIdHeader};

inline int64_t MillisecondsLeft(TimePoint deadline, TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_ROUTER_FORWARDING_H_
