#include "base/time.h"

namespace pomelopond {

TimePoint Now() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

int64_t WallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace pomelopond
