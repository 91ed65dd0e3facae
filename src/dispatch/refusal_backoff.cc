#include "dispatch/refusal_backoff.h"

#include <algorithm>
#include <cmath>

namespace pomelopond::dispatch {
namespace {

// Multiples of the golden ratio, taken modulo 1, are spread evenly.
constexpr double kGoldenRatio = 0.6180339887498949;

}  // namespace

Duration RefusalDelay(int refusals, double draw) {
  Duration longest = kMinRefusalBackoff;
  for (int n = 1; n < refusals && longest < kMaxRefusalBackoff; ++n) longest *= 2;
  longest = std::min(longest, kMaxRefusalBackoff);
  const Duration half = longest / 2;
  return half + Duration(static_cast<int64_t>(draw * static_cast<double>(half.count())));
}

double RefusalDraw(int64_t order_number) {
  return std::fmod(static_cast<double>(order_number) * kGoldenRatio, 1.0);
}

RefusalBackoff AfterStartAnswer(const RefusalBackoff& before, OrderStatus status, TimePoint sent,
                                TimePoint now, double draw) {
  if (status == OrderStatus::kNoAnswer || status == OrderStatus::kUnreachable) return before;
  if (before.refusals > 0 && sent < before.refused_at) return before;
  if (status == OrderStatus::kAccepted) return {};
  RefusalBackoff after = before;
  if (status != OrderStatus::kNoCapacity && status != OrderStatus::kUnhealthy) {
    after.until = std::min(before.until, now);
    return after;
  }
  after.refusals += 1;
  after.status = status;
  after.refused_at = now;
  after.until = now + RefusalDelay(after.refusals, draw);
  return after;
}

RefusalBackoff AfterEndedRun(const RefusalBackoff& before) {
  return before.status == OrderStatus::kNoCapacity ? RefusalBackoff{} : before;
}

RefusalBackoff AfterStartOrder(const RefusalBackoff& before, TimePoint now) {
  // A worker that wants room may take a smaller task than the one that it has refused.
  if (before.refusals == 0 || before.status != OrderStatus::kUnhealthy) return before;
  RefusalBackoff after = before;
  after.until = std::max(before.until, now + kMaxProbeTime);
  return after;
}

}  // namespace pomelopond::dispatch
