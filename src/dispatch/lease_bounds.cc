#include "dispatch/lease_bounds.h"

#include <utility>

#include "base/json.h"
#include "base/result_code.h"

namespace pomelopond::dispatch {

std::string Encode(const LeaseBounds& bounds) {
  std::string bytes;
  Json::to_msgpack(Json::array({bounds.epoch, bounds.left_ms}), bytes);
  return bytes;
}

Result<LeaseBounds> DecodeLeaseBounds(const std::string& bytes) {
  const Json in = ParseMessagePack(bytes);
  LeaseBounds bounds;
  try {
    in.at(0).get_to(bounds.epoch);
    in.at(1).get_to(bounds.left_ms);
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  for (const auto& [id, left_ms] : bounds.left_ms) {
    if (left_ms < 0) return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(bounds)};
}

LeaseBounds BoundsFor(int64_t epoch, const LeaseBounds& bounds) {
  return bounds.epoch == epoch - 1 ? bounds : LeaseBounds{};
}

}  // namespace pomelopond::dispatch
