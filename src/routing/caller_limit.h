// Limits of callers, from the `limits` section of the release.
#ifndef POMELOPOND_ROUTING_CALLER_LIMIT_H_
#define POMELOPOND_ROUTING_CALLER_LIMIT_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/json_reader.h"
#include "base/time.h"

namespace pomelopond::routing {

// The name whose limit holds for callers without an entry of their own. They share one bucket, so
// that a caller cannot gain by changing its name, and the number of buckets is that of the release.
inline constexpr const char* kOtherCallers = "*";

// Rates are of the whole system; each router grants its part.
struct CallerLimit {
  double per_second = 0;  // 0: no limit
  double burst = 0;       // requests at once; 0: one second's worth
  int64_t weight = 1;     // share of a full queue relative to other callers

  friend bool operator==(const CallerLimit& a, const CallerLimit& b) {
    return a.per_second == b.per_second && a.burst == b.burst && a.weight == b.weight;
  }
};

using CallerLimits = std::map<std::string, CallerLimit>;

// Reads {"per_second", "burst", "weight"}. The last two are optional.
CallerLimit ReadCallerLimit(const Json& object, const std::string& path, FieldErrors* errors);

// Reads a section of objects by caller name. Entries with errors are left out.
CallerLimits ReadCallerLimits(const std::map<std::string, Json>& section, FieldErrors* errors);

// The name of the entry that holds for `caller`: its own or kOtherCallers.
std::string LimitNameOf(const CallerLimits& limits, const std::string& caller);

// The entry of that name; no limit and weight 1 without one.
CallerLimit LimitOf(const CallerLimits& limits, const std::string& name);

// A token bucket of one caller in one router.
struct CallerBucket {
  double tokens = 0;
  TimePoint last_refill{};
  bool initialized = false;  // false: full

  friend bool operator==(const CallerBucket& a, const CallerBucket& b) {
    return a.tokens == b.tokens && a.last_refill == b.last_refill && a.initialized == b.initialized;
  }
};

// True when the caller may send one more request at `now`; it is then counted. `routers` divide the
// limit evenly, whatever each of them believes about the others. A bucket holds at least one
// request, else a small limit divided by 8 would refuse every request.
bool TryAcquireRequest(CallerBucket* bucket, const CallerLimit& limit, int64_t routers,
                       TimePoint now);

// Drops the buckets of callers without a limit. The others keep their state: releases change every
// few seconds, and a bucket that was full again after each would grant its burst that often.
void RemoveUnlistedBuckets(const CallerLimits& limits,
                           std::map<std::string, CallerBucket>* buckets);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_CALLER_LIMIT_H_
