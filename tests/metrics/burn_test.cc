#include "metrics/burn.h"

#include <gtest/gtest.h>

namespace pomelopond::metrics {
namespace {

constexpr TimePoint kStart{std::chrono::hours(100)};

// Guards against windows that count requests outside their time. The long window must include an
// earlier outage that the short window no longer covers, and the short window must show a short
// outage that the long window averages out.
TEST(BurnTest, WindowsCountOnlyTheirOwnTime) {
  BurnSeries series;
  for (int n = 0; n < 100; ++n) AddRequest(&series, false, kStart);
  const TimePoint later = kStart + std::chrono::minutes(30);
  for (int n = 0; n < 300; ++n) AddRequest(&series, true, later);
  EXPECT_EQ(CountsWithin(series, kShortWindow, later), (BurnCounts{300, 0}));
  EXPECT_EQ(CountsWithin(series, kLongWindow, later), (BurnCounts{300, 100}));
  EXPECT_EQ(CountsWithin(series, kLongWindow, later + kLongWindow), BurnCounts{});
}

// Guards against a series that grows without bound while the process runs.
TEST(BurnTest, OldSlotsAreDropped) {
  BurnSeries series;
  for (int n = 0; n < 1000; ++n) AddRequest(&series, true, kStart + n * kBurnSlot);
  EXPECT_LE(series.slots.size(), static_cast<size_t>(kLongWindow / kBurnSlot));
}

TEST(BurnTest, RateAndBudget) {
  EXPECT_NEAR(BurnRate({990, 10}, 0.99), 1, 1e-9);
  EXPECT_NEAR(BurnRate({900, 100}, 0.99), 10, 1e-9);
  EXPECT_NEAR(BudgetLeft({995, 5}, 0.99), 0.5, 1e-9);
  EXPECT_EQ(BurnRate({}, 0.99), 0);
  EXPECT_EQ(BurnRate({1, 1}, 1), 0);
}

}  // namespace
}  // namespace pomelopond::metrics
