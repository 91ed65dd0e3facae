// Decisions about the connections of a server: what a request takes of the memory budget, when a
// connection has taken too long, and which one is closed to make room for others.
#ifndef POMELOPOND_HTTP_INTERNAL_CONNECTION_BUDGET_H_
#define POMELOPOND_HTTP_INTERNAL_CONNECTION_BUDGET_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "http/server_limits.h"

namespace pomelopond::http {

enum class Phase {
  kIdle,       // between requests
  kHeader,     // reads a header
  kBody,       // reads a body
  kHandling,   // waits for the handler's response
  kWriting,    // writes a response
  kLingering,  // has written its last response and waits until the peer has read it
};
inline constexpr int kPhases = 6;

struct ConnectionState {
  Phase phase = Phase::kIdle;
  TimePoint since;        // start of the phase
  TimePoint progress_at;  // last byte read or written, or start of the phase
  int64_t charged = 0;    // bytes of the budget
};

// Bytes of the budget that a request takes from the end of its header until its response is
// written.
int64_t RequestCost(int64_t header_bytes, int64_t fields, int64_t body_bytes);

// Returns the part of the budget that a request of this cost may use. Large ones leave a part to
// small ones, so that bodies that arrive slowly do not keep out ordinary requests.
int64_t RoomFor(int64_t cost, const ServerLimits& limits);

// Largest body that the budget can ever take.
int64_t MaxBodyBytes(const ServerLimits& limits);

// Returns the time at which a connection has taken too long for its phase, and the cause of its end
// then. Returns nullopt if only the handler's response ends the phase.
struct Expiry {
  TimePoint at;
  std::optional<CloseCause> cause;  // nullopt: the connection has served its purpose
};
std::optional<Expiry> ExpiryOf(const ConnectionState& state, const ServerLimits& limits);

// Choose the connection to close for bytes or for a connection that finds no room; nullopt: none
// may be closed. `oldest` has the connection without progress for longest of each phase. For bytes,
// connections count that hold some and have been without progress for 1 s; for a connection, the
// idle ones come before these.
std::optional<size_t> ChooseToFreeBytes(const std::vector<ConnectionState>& oldest, TimePoint now);
std::optional<size_t> ChooseToFreeConnection(const std::vector<ConnectionState>& oldest,
                                             TimePoint now);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_INTERNAL_CONNECTION_BUDGET_H_
