#include "base/time.h"

#include <ctime>

namespace pomelopond {

Clock::time_point Clock::now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                         std::chrono::nanoseconds(now.tv_nsec)));
}

TimePoint Now() { return Clock::now(); }

int64_t WallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace pomelopond
