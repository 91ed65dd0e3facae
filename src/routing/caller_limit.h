// Provides the rate limits of callers, which the section `limits` of the release defines.
#ifndef POMELOPOND_ROUTING_CALLER_LIMIT_H_
#define POMELOPOND_ROUTING_CALLER_LIMIT_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/json_reader.h"
#include "base/time.h"

namespace pomelopond::routing {

// The name of the limit that applies to callers without an entry of their own. These callers share
// one bucket, so that a caller cannot evade its limit by changing its name, and so that the number
// of buckets is bounded by the number of entries in the release.
inline constexpr const char* kOtherCallers = "*";

// The limit of a caller in the whole system; each router grants a fraction of it.
struct CallerLimit {
  double per_second = 0;  // requests per second; 0: no limit
  double burst = 0;       // requests that may arrive at once; 0: as many as per_second
  int64_t weight = 1;     // share of a full queue relative to other callers

  friend bool operator==(const CallerLimit& a, const CallerLimit& b) {
    return a.per_second == b.per_second && a.burst == b.burst && a.weight == b.weight;
  }
};

// Limits by caller name.
using CallerLimits = std::map<std::string, CallerLimit>;

// Reads {"per_second", "burst", "weight"}; the last two are optional. Adds every invalid field to
// `errors` with its path.
CallerLimit ReadCallerLimit(const Json& object, const std::string& path, FieldErrors* errors);

// Reads the section `limits`. Leaves out entries with errors, so that the other entries still
// apply.
CallerLimits ReadCallerLimits(const std::map<std::string, Json>& section, FieldErrors* errors);

// Returns the name of the entry that applies to `caller`: its own name or kOtherCallers.
std::string LimitNameOf(const CallerLimits& limits, const std::string& caller);

// Returns the entry with `name`. Without such an entry, returns no limit and weight 1.
CallerLimit LimitOf(const CallerLimits& limits, const std::string& name);

// The token bucket of one caller in one router.
struct CallerBucket {
  double tokens = 0;         // requests that may be sent now
  TimePoint last_refill{};   // when `tokens` was last computed
  bool initialized = false;  // false: the bucket counts as full

  friend bool operator==(const CallerBucket& a, const CallerBucket& b) {
    return a.tokens == b.tokens && a.last_refill == b.last_refill && a.initialized == b.initialized;
  }
};

// Returns true when the caller may send one more request at `now`, and takes a token for it. The
// limit is divided evenly by the number of `routers`, regardless of which routers a router sees as
// live. A bucket holds at least one request; otherwise a small limit divided by 8 routers would
// refuse every request.
bool TryAcquireRequest(CallerBucket* bucket, const CallerLimit& limit, int64_t routers,
                       TimePoint now);

// Removes the buckets of callers without an entry. The other buckets keep their state: releases
// change every few seconds, and a bucket that each release refilled would grant its burst that
// often.
void RemoveUnlistedBuckets(const CallerLimits& limits,
                           std::map<std::string, CallerBucket>* buckets);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_CALLER_LIMIT_H_
