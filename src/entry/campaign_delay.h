// Times that a process waits before it campaigns for the ownership of the pool. Deciding for a
// large pool takes more processor time than a small host has, so faster hosts go first.
#ifndef POMELOPOND_ENTRY_CAMPAIGN_DELAY_H_
#define POMELOPOND_ENTRY_CAMPAIGN_DELAY_H_

#include <cstdint>

#include "base/time.h"

namespace pomelopond::entry {

// Each candidate waits for a random time between these bounds, so that one of them is first. The
// previous owner, which already has the state, restores its key without waiting.
inline constexpr Duration kMinCampaignDelay = std::chrono::milliseconds(60);
inline constexpr Duration kMaxCampaignDelay = std::chrono::milliseconds(300);
// Bound on the time that a slow host waits for faster ones.
inline constexpr Duration kMaxYieldTime = std::chrono::milliseconds(500);
// The same before the first owner, when no term names a fast host. It is longer, as hosts do not
// all start at once, and delays no run, as there is none yet.
inline constexpr Duration kMaxFirstYieldTime = std::chrono::seconds(2);

// `draw` is a random number from 0 to 1.
Duration CampaignDelay(double draw);
// Returns such a number.
double RandomDraw();

// Returns the time that a host waits for faster ones, besides the campaign delay. `own_milli` is
// the processor time of this host in thousandths of a core and `fastest_milli` that of the fastest
// owner on record; 0 means unknown and gives no preference.
Duration YieldTime(int64_t own_milli, int64_t fastest_milli);

// The same when no host has owned the pool yet: in proportion to what the host lacks of a core.
Duration FirstYieldTime(int64_t own_milli);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_CAMPAIGN_DELAY_H_
