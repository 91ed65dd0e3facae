#include "http/internal/connection_budget.h"

#include <algorithm>

namespace pomelopond::http {
namespace {

// A field is two strings in a node of a map.
constexpr int64_t kFieldBytes = 160;
// A body is held while it is read, and its decoded form until the request is answered.
constexpr int64_t kCopiesOfBody = 2;
// Ordinary requests cost less than a tenth of this.
constexpr int64_t kSmallCost = int64_t{64} * 1024;
constexpr Duration kStallTime = std::chrono::seconds(1);
// Closing a connection while its peer still sends resets it, and the peer may lose the response.
constexpr Duration kLingerTime = std::chrono::milliseconds(250);

bool IsStalled(const ConnectionState& state, TimePoint now) {
  const bool waits_for_peer = state.phase == Phase::kHeader || state.phase == Phase::kBody ||
                              state.phase == Phase::kWriting;
  return waits_for_peer && now - state.progress_at >= kStallTime;
}

// Returns the position of the state without progress for longest of those that `is_candidate`
// accepts.
template <class F>
std::optional<size_t> LongestWithoutProgress(const std::vector<ConnectionState>& states,
                                             const F& is_candidate) {
  std::optional<size_t> best;
  for (size_t n = 0; n < states.size(); ++n) {
    if (!is_candidate(states[n])) continue;
    if (!best || states[n].progress_at < states[*best].progress_at) best = n;
  }
  return best;
}

}  // namespace

int64_t RequestCost(int64_t header_bytes, int64_t fields, int64_t body_bytes) {
  return header_bytes + fields * kFieldBytes + body_bytes * kCopiesOfBody;
}

int64_t RoomFor(int64_t cost, const ServerLimits& limits) {
  return cost <= kSmallCost ? limits.budget_bytes : limits.budget_bytes / 4 * 3;
}

int64_t MaxBodyBytes(const ServerLimits& limits) {
  const int64_t header = RequestCost(limits.max_header_bytes, limits.max_header_fields, 0);
  const int64_t room = std::max<int64_t>(limits.budget_bytes / 4 * 3 - header, 0) / kCopiesOfBody;
  return std::min(limits.max_body_bytes, room);
}

std::optional<Expiry> ExpiryOf(const ConnectionState& state, const ServerLimits& limits) {
  switch (state.phase) {
    case Phase::kIdle:
      return Expiry{state.since + limits.idle_timeout, CloseCause::kIdleTimeout};
    case Phase::kHeader:
      return Expiry{state.since + limits.header_timeout, CloseCause::kHeaderTimeout};
    case Phase::kBody:
      return Expiry{
          std::min(state.since + limits.body_timeout, state.progress_at + limits.stall_timeout),
          CloseCause::kBodyTimeout};
    case Phase::kHandling:
      return std::nullopt;
    case Phase::kWriting:
      return Expiry{state.since + limits.write_timeout, CloseCause::kWriteTimeout};
    case Phase::kLingering:
      return Expiry{state.since + kLingerTime, std::nullopt};
  }
  return std::nullopt;
}

std::optional<size_t> ChooseToFreeBytes(const std::vector<ConnectionState>& oldest, TimePoint now) {
  return LongestWithoutProgress(
      oldest, [now](const ConnectionState& it) { return it.charged > 0 && IsStalled(it, now); });
}

std::optional<size_t> ChooseToFreeConnection(const std::vector<ConnectionState>& oldest,
                                             TimePoint now) {
  const std::optional<size_t> idle = LongestWithoutProgress(oldest, [](const ConnectionState& it) {
    return it.phase == Phase::kIdle || it.phase == Phase::kLingering;
  });
  if (idle) return idle;
  return LongestWithoutProgress(oldest,
                                [now](const ConnectionState& it) { return IsStalled(it, now); });
}

}  // namespace pomelopond::http
