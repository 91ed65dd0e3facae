// Time types and clocks.
#ifndef POMELOPOND_BASE_TIME_H_
#define POMELOPOND_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace pomelopond {

using Duration = std::chrono::microseconds;
// A point on the process's monotonic clock. Points from different processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Whole milliseconds of the duration.
constexpr int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Reads the monotonic clock. Decision functions do not call it but take the time as an argument.
TimePoint Now();

// Returns the wall-clock milliseconds since the Unix epoch. For audit entries and reports only.
int64_t WallClockMs();

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_TIME_H_
