#include "entry/campaign_delay.h"

#include <random>

namespace pomelopond::entry {
namespace {

constexpr int64_t kCoreMilli = 1000;

}  // namespace

double RandomDraw() {
  static thread_local std::mt19937 random{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(random);
}

Duration CampaignDelay(double draw) {
  const auto spread = static_cast<double>((kMaxCampaignDelay - kMinCampaignDelay).count());
  return kMinCampaignDelay + Duration(static_cast<int64_t>(draw * spread));
}

Duration YieldTime(int64_t own_milli, int64_t fastest_milli) {
  if (own_milli <= 0 || own_milli >= fastest_milli) return Duration::zero();
  return kMaxYieldTime * (fastest_milli - own_milli) / fastest_milli;
}

Duration FirstYieldTime(int64_t own_milli) {
  if (own_milli <= 0 || own_milli >= kCoreMilli) return Duration::zero();
  return kMaxFirstYieldTime * (kCoreMilli - own_milli) / kCoreMilli;
}

}  // namespace pomelopond::entry
