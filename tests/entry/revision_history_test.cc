#include "entry/revision_history.h"

#include <gtest/gtest.h>

namespace pomelopond::entry {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kSecond = std::chrono::seconds(1);

TEST(RevisionHistoryTest, AgeCountsFromTheNewestCallThatFoundNoLaterRevision) {
  RevisionHistory history;
  history.Record(kStart, 10);
  history.Record(kStart + kSecond, 20);
  history.Record(kStart + 2 * kSecond, 30);
  const TimePoint now = kStart + 3 * kSecond;
  EXPECT_EQ(history.MaxAge(30, now), kSecond);
  EXPECT_EQ(history.MaxAge(29, now), 2 * kSecond);
  EXPECT_EQ(history.MaxAge(10, now), 3 * kSecond);
  EXPECT_EQ(history.MaxAge(9, now), std::nullopt);
}

// Guards against state that passes for recent because the store has not answered for a while.
TEST(RevisionHistoryTest, AgeGrowsWhileTheStoreIsAway) {
  RevisionHistory history;
  EXPECT_EQ(history.MaxAge(10, kStart), std::nullopt);
  history.Record(kStart, 10);
  EXPECT_EQ(history.MaxAge(10, kStart + 5 * kSecond), 5 * kSecond);
  EXPECT_EQ(history.MaxAge(10, kStart + 60 * kSecond), std::nullopt);
}

// Guards against memory that grows with the rate of the calls, and against a bound of which a
// later call makes state look younger than it is.
TEST(RevisionHistoryTest, CallsInQuickSuccessionKeepTheEarlierBound) {
  RevisionHistory history;
  history.Record(kStart, 10);
  history.Record(kStart + std::chrono::milliseconds(1), 20);
  const TimePoint now = kStart + kSecond;
  EXPECT_EQ(history.MaxAge(10, now), kSecond);
  EXPECT_EQ(history.MaxAge(20, now), kSecond);
}

}  // namespace
}  // namespace pomelopond::entry
