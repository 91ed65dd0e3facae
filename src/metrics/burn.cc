#include "metrics/burn.h"

namespace pomelopond::metrics {
namespace {

int64_t SlotNumber(TimePoint now) { return now.time_since_epoch() / kBurnSlot; }

}  // namespace

void AddRequest(BurnSeries* series, bool good, TimePoint now) {
  const int64_t number = SlotNumber(now);
  if (series->slots.empty() || series->slots.back().number < number) {
    series->slots.push_back({number, {}});
  }
  BurnCounts& counts = series->slots.back().counts;
  (good ? counts.good : counts.bad) += 1;
  while (series->slots.front().number <= number - kLongWindow / kBurnSlot) {
    series->slots.pop_front();
  }
}

BurnCounts CountsWithin(const BurnSeries& series, Duration window, TimePoint now) {
  const int64_t oldest = SlotNumber(now) - window / kBurnSlot;
  BurnCounts sum;
  for (const BurnSeries::Slot& it : series.slots) {
    if (it.number > oldest) sum = sum + it.counts;
  }
  return sum;
}

double BurnRate(const BurnCounts& counts, double objective) {
  const int64_t total = counts.good + counts.bad;
  if (total == 0 || objective >= 1) return 0;
  return static_cast<double>(counts.bad) / static_cast<double>(total) / (1 - objective);
}

double BudgetLeft(const BurnCounts& counts, double objective) {
  return 1 - BurnRate(counts, objective);
}

}  // namespace pomelopond::metrics
