// Limits of an HttpServer, and the causes for which it refuses requests and closes connections.
#ifndef POMELOPOND_HTTP_SERVER_LIMITS_H_
#define POMELOPOND_HTTP_SERVER_LIMITS_H_

#include <array>
#include <cstdint>

#include "base/time.h"

namespace pomelopond::http {

// No well-behaved client reaches the defaults.
struct ServerLimits {
  int64_t max_header_bytes = 16384;
  // A decoded field takes some 200 bytes beside its text. Ordinary clients send 5 to 30.
  int64_t max_header_fields = 200;
  int64_t max_body_bytes = 262144;
  Duration header_timeout = std::chrono::seconds(10);  // from its first byte to its last
  Duration stall_timeout = std::chrono::seconds(10);   // without progress of a body
  Duration body_timeout = std::chrono::seconds(60);    // from the header to the last byte
  Duration write_timeout = std::chrono::seconds(30);   // of a response
  // Longer than the 30 s for which this project's clients keep idle connections.
  Duration idle_timeout = std::chrono::seconds(120);
  int64_t max_connections = 0;  // 0: not limited
  // Memory for what all connections together buffer and hold until it is answered.
  int64_t budget_bytes = int64_t{256} << 20;
};

enum class CloseCause {
  kBadRequest,      // refused: malformed
  kLengthRequired,  // refused: a body without Content-Length
  kHeaderTooLarge,  // refused: header bytes or number of fields
  kBodyTooLarge,    // refused: length of the body
  kBudgetFull,      // refused: the budget has no room for the body
  kHeaderTimeout,   // refused: the header is not complete in time
  kBodyTimeout,     // refused: the body is not complete in time, or makes no progress
  kWriteTimeout,    // closed: the response is not read in time
  kIdleTimeout,     // closed: no request in time
  kNoConnection,    // closed when accepted: no connection is left
  kReplaced,        // closed to make room for another connection
  kStalled,         // closed to make room for the bytes of others
};
inline constexpr int kCloseCauses = 12;

// Returns a name such as "budget_full" for metrics and logs.
const char* CloseCauseName(CloseCause cause);

// What a server has done since its start, and holds now.
struct ServerUsage {
  std::array<int64_t, kCloseCauses> closed{};  // by cause
  int64_t connections = 0;
  int64_t budget_used = 0;
};

// Limits of the addresses of one process.
struct ProcessLimits {
  ServerLimits callers;
  ServerLimits probes;  // for each of the readiness and metrics addresses
};

// Divides the memory and the descriptors of a process (0: unknown) among its addresses. `callers`
// has the other limits of the callers' address.
ProcessLimits DivideLimits(const ServerLimits& callers, int64_t memory_bytes, int64_t max_fds);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_SERVER_LIMITS_H_
