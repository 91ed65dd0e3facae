#include "dispatch/lease_bounds.h"

#include <utility>

#include "base/integer.h"
#include "base/json.h"
#include "base/result_code.h"
#include "jobs/limits.h"

namespace pomelopond::dispatch {
namespace {

// Longest lease in ms, a day. Sums with a point in time stay within their type.
constexpr int64_t kMaxLeaseMs = 86400000;

}  // namespace

std::string Encode(const LeaseBounds& bounds) {
  std::string bytes;
  Json::to_msgpack(Json::array({bounds.epoch, bounds.left_ms}), bytes);
  return bytes;
}

Result<LeaseBounds> DecodeLeaseBounds(const std::string& bytes) {
  const Json in = ParseMessagePack(bytes);
  LeaseBounds bounds;
  try {
    bounds.epoch = RequireWholeNumber(in.at(0), "epoch", 0, jobs::kMaxEpoch);
    for (const auto& [id, left_ms] : in.at(1).get_ref<const Json::object_t&>()) {
      bounds.left_ms[id] = RequireWholeNumber(left_ms, id, 0, kMaxLeaseMs);
    }
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(bounds)};
}

LeaseBounds BoundsFor(int64_t epoch, const LeaseBounds& bounds) {
  return bounds.epoch == epoch - 1 ? bounds : LeaseBounds{};
}

}  // namespace pomelopond::dispatch
