// Timing constants that the source files of PoolOwner share.
#ifndef POMELOPOND_ENTRY_INTERNAL_POOL_OWNER_TIMING_H_
#define POMELOPOND_ENTRY_INTERNAL_POOL_OWNER_TIMING_H_

#include "base/time.h"

namespace pomelopond::entry {

inline constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
inline constexpr Duration kCommitTimeout = std::chrono::seconds(1);
inline constexpr Duration kWatchWait = std::chrono::seconds(2);
inline constexpr int kRenewalsPerLease = 4;

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_INTERNAL_POOL_OWNER_TIMING_H_
