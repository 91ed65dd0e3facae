#include "entry/campaign_delay.h"

namespace pomelopond::entry {

Duration CampaignDelay(double draw) {
  const auto spread = static_cast<double>((kMaxCampaignDelay - kMinCampaignDelay).count());
  return kMinCampaignDelay + Duration(static_cast<int64_t>(draw * spread));
}

Duration YieldTime(int64_t own_milli, int64_t fastest_milli) {
  if (own_milli <= 0 || own_milli >= fastest_milli) return Duration::zero();
  return kMaxYieldTime * (fastest_milli - own_milli) / fastest_milli;
}

}  // namespace pomelopond::entry
