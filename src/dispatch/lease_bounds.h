// Durable upper bounds of the leases on workers that the owner cannot reach. The next owner waits
// no longer than that for them.
#ifndef POMELOPOND_DISPATCH_LEASE_BOUNDS_H_
#define POMELOPOND_DISPATCH_LEASE_BOUNDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/result.h"

namespace pomelopond::dispatch {

// Number of consecutive heartbeats without an answer after which a worker's lease is bounded.
inline constexpr int kHeartbeatsBeforeBound = 2;

struct LeaseBounds {
  // Epoch of the owner that wrote the bounds. They hold for the next epoch only, since a later
  // owner may have extended leases without writing bounds.
  int64_t epoch = 0;
  // By worker id: longest time in ms, counted from the commit, until all its runs have ended.
  std::map<std::string, int64_t> left_ms;

  friend bool operator==(const LeaseBounds& a, const LeaseBounds& b) {
    return std::tie(a.epoch, a.left_ms) == std::tie(b.epoch, b.left_ms);
  }
  friend bool operator!=(const LeaseBounds& a, const LeaseBounds& b) { return !(a == b); }
};

std::string Encode(const LeaseBounds& bounds);
// Returns kStoreBadAnswer for malformed input.
Result<LeaseBounds> DecodeLeaseBounds(const std::string& bytes);

// Returns `bounds` if the owner of `epoch` may rely on them, else no bounds.
LeaseBounds BoundsFor(int64_t epoch, const LeaseBounds& bounds);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_LEASE_BOUNDS_H_
