// Delay before the next call of the store after a failure.
#ifndef POMELOPOND_APPS_SCHEDULER_RECONNECT_DELAY_H_
#define POMELOPOND_APPS_SCHEDULER_RECONNECT_DELAY_H_

#include <chrono>

#include "base/time.h"

namespace pomelopond::apps {

// Upper bound of the random delay before a process calls the store again after a failure. It keeps
// the processes from reconnecting all at once after an outage.
inline constexpr Duration kMaxReconnectDelay = std::chrono::seconds(2);

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_RECONNECT_DELAY_H_
