// Time types of all deciding functions.
#ifndef POMELOPOND_BASE_TIME_H_
#define POMELOPOND_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace pomelopond {

using Duration = std::chrono::microseconds;
// A point on the process's monotonic clock. Points of different processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Reads the monotonic clock. Only programs call it; deciding functions take the time as argument.
TimePoint Now();

// Wall-clock milliseconds since the Unix epoch, for audit entries and reports only.
int64_t WallClockMs();

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_TIME_H_
