// Service-level burn: how fast a service uses up its error budget.
#ifndef POMELOPOND_METRICS_BURN_H_
#define POMELOPOND_METRICS_BURN_H_

#include <cstdint>
#include <deque>

#include "base/time.h"

namespace pomelopond::metrics {

// Counts are kept in slots of this length, for the long window.
inline constexpr Duration kBurnSlot = std::chrono::seconds(10);
inline constexpr Duration kShortWindow = std::chrono::minutes(5);
inline constexpr Duration kLongWindow = std::chrono::hours(1);

// Requests that met the objective and those that did not.
struct BurnCounts {
  int64_t good = 0;
  int64_t bad = 0;

  friend bool operator==(const BurnCounts& a, const BurnCounts& b) {
    return a.good == b.good && a.bad == b.bad;
  }
  friend BurnCounts operator+(const BurnCounts& a, const BurnCounts& b) {
    return {a.good + b.good, a.bad + b.bad};
  }
};

// Counts of one service over the long window, oldest slot first.
struct BurnSeries {
  struct Slot {
    int64_t number = 0;  // start of the slot divided by its length
    BurnCounts counts;
  };
  std::deque<Slot> slots;
};

void AddRequest(BurnSeries* series, bool good, TimePoint now);

// Counts of the slots that began within `window` before `now`.
BurnCounts CountsWithin(const BurnSeries& series, Duration window, TimePoint now);

// Share of bad requests divided by the share that the objective allows: 1 uses up exactly the whole
// budget over the objective's period. `objective` is the share of good requests that is promised,
// below 1. Zero without requests.
double BurnRate(const BurnCounts& counts, double objective);

// Share of the window's error budget that is left; negative when it is overspent.
double BudgetLeft(const BurnCounts& counts, double objective);

}  // namespace pomelopond::metrics

#endif  // POMELOPOND_METRICS_BURN_H_
