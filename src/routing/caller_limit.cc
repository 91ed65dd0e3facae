#include "routing/caller_limit.h"

#include <algorithm>
#include <iterator>

namespace pomelopond::routing {
namespace {

constexpr int64_t kMaxPerSecond = 1000000;
constexpr int64_t kMaxWeight = 1000;

}  // namespace

CallerLimit ReadCallerLimit(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  CallerLimit limit;
  limit.per_second = static_cast<double>(reader.Int("per_second", 1, kMaxPerSecond));
  limit.burst = static_cast<double>(reader.IntOr("burst", 1, kMaxPerSecond, 0));
  limit.weight = reader.IntOr("weight", 1, kMaxWeight, 1);
  reader.Finish();
  return limit;
}

CallerLimits ReadCallerLimits(const std::map<std::string, Json>& section, FieldErrors* errors) {
  CallerLimits limits;
  for (const auto& [name, object] : section) {
    const size_t before = errors->size();
    const CallerLimit limit = ReadCallerLimit(object, "limits." + name, errors);
    if (errors->size() == before) limits[name] = limit;
  }
  return limits;
}

std::string LimitNameOf(const CallerLimits& limits, const std::string& caller) {
  return limits.count(caller) > 0 ? caller : kOtherCallers;
}

CallerLimit LimitOf(const CallerLimits& limits, const std::string& name) {
  const auto it = limits.find(name);
  return it == limits.end() ? CallerLimit{} : it->second;
}

bool TryAcquireRequest(CallerBucket* bucket, const CallerLimit& limit, int64_t routers,
                       TimePoint now) {
  if (limit.per_second == 0) return true;
  const double router_fraction = 1 / static_cast<double>(std::max<int64_t>(routers, 1));
  const double rate = limit.per_second * router_fraction;
  const double burst =
      std::max((limit.burst == 0 ? limit.per_second : limit.burst) * router_fraction, 1.0);
  const double seconds = std::chrono::duration<double>(now - bucket->last_refill).count();
  bucket->tokens = bucket->initialized ? std::min(bucket->tokens + rate * seconds, burst) : burst;
  bucket->last_refill = now;
  bucket->initialized = true;
  if (bucket->tokens < 1) return false;
  bucket->tokens -= 1;
  return true;
}

void RemoveUnlistedBuckets(const CallerLimits& limits,
                           std::map<std::string, CallerBucket>* buckets) {
  for (auto it = buckets->begin(); it != buckets->end();) {
    it = limits.count(it->first) > 0 ? std::next(it) : buckets->erase(it);
  }
}

}  // namespace pomelopond::routing
