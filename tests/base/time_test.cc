#include "base/time.h"

#include <gtest/gtest.h>

#include <ctime>

namespace pomelopond {
namespace {

// Guards against a clock that stands still while the machine is suspended: an owner that wakes up
// would send orders long after it was replaced. The two clocks differ on machines that have been
// suspended; the machine of a test may not have been.
TEST(TimeTest, NowCountsSuspendedTime) {
  timespec before{};
  timespec after{};
  clock_gettime(CLOCK_BOOTTIME, &before);
  const Duration now = Now().time_since_epoch();
  clock_gettime(CLOCK_BOOTTIME, &after);
  const auto microseconds = [](const timespec& it) {
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(it.tv_sec) +
                                                std::chrono::nanoseconds(it.tv_nsec));
  };
  EXPECT_GE(now, microseconds(before));
  EXPECT_LE(now, microseconds(after));
}

}  // namespace
}  // namespace pomelopond
