// Time types and clocks.
#ifndef POMELOPOND_BASE_TIME_H_
#define POMELOPOND_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace pomelopond {

using Duration = std::chrono::microseconds;

// A monotonic clock that also counts the time during which the machine is suspended. On one that
// doesn't, a process that wakes up takes its last proof of ownership for a recent one.
struct Clock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;

  static time_point now();
};

// Points from different processes are not comparable.
using TimePoint = Clock::time_point;

// Whole milliseconds of the duration.
constexpr int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Reads the clock. Decision functions do not call it but take the time as an argument.
TimePoint Now();

// Returns the wall-clock milliseconds since the Unix epoch. For audit entries and reports only.
int64_t WallClockMs();

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_TIME_H_
