// Error budget burn rate: how fast a service consumes the error budget of its service-level
// objective.
#ifndef POMELOPOND_METRICS_BURN_H_
#define POMELOPOND_METRICS_BURN_H_

#include <cstdint>
#include <deque>

#include "base/time.h"

namespace pomelopond::metrics {

// Requests are counted in time slots of this length, which cover the long window.
inline constexpr Duration kBurnSlot = std::chrono::seconds(10);
inline constexpr Duration kShortWindow = std::chrono::minutes(5);
inline constexpr Duration kLongWindow = std::chrono::hours(1);

// Numbers of requests by whether they met the objective.
struct BurnCounts {
  int64_t good = 0;  // requests that met the objective
  int64_t bad = 0;   // requests that did not meet it

  friend bool operator==(const BurnCounts& a, const BurnCounts& b) {
    return a.good == b.good && a.bad == b.bad;
  }
  friend BurnCounts operator+(const BurnCounts& a, const BurnCounts& b) {
    return {a.good + b.good, a.bad + b.bad};
  }
};

// The request counts of one service over the long window.
struct BurnSeries {
  struct Slot {
    int64_t number = 0;  // start of the slot divided by its length
    BurnCounts counts;
  };
  std::deque<Slot> slots;  // oldest first; slots without requests are absent
};

void AddRequest(BurnSeries* series, bool good, TimePoint now);

// Returns the sum of the counts of the slots that began within `window` before `now`.
BurnCounts CountsWithin(const BurnSeries& series, Duration window, TimePoint now);

// Returns the ratio of bad requests divided by the ratio that the objective allows. A burn rate of
// 1 consumes exactly the whole budget over the objective's period. `objective` is the promised
// ratio of good requests, below 1. Returns 0 if there are no requests.
double BurnRate(const BurnCounts& counts, double objective);

// Returns the remaining fraction of the window's error budget. It is negative if the budget is
// exceeded.
double BudgetLeft(const BurnCounts& counts, double objective);

}  // namespace pomelopond::metrics

#endif  // POMELOPOND_METRICS_BURN_H_
