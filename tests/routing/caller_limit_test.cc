#include "routing/caller_limit.h"

#include <gtest/gtest.h>

namespace pomelopond::routing {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

// Returns how many of `tries` requests at `now` the bucket grants.
int CountGranted(CallerBucket* bucket, const CallerLimit& limit, int64_t routers, TimePoint now,
                 int tries) {
  int granted = 0;
  for (int n = 0; n < tries; ++n) granted += TryAcquireRequest(bucket, limit, routers, now) ? 1 : 0;
  return granted;
}

// Guards against eight routers that together grant eight times a caller's limit.
TEST(CallerLimitTest, RoutersTogetherGrantTheLimit) {
  CallerLimit limit;
  limit.per_second = 80;
  CallerBucket bucket;
  EXPECT_EQ(CountGranted(&bucket, limit, 8, kNow, 100), 10);
  EXPECT_EQ(CountGranted(&bucket, limit, 8, kNow, 100), 0);
  int granted = 0;
  for (int n = 1; n <= 100; ++n) {
    granted += CountGranted(&bucket, limit, 8, kNow + n * std::chrono::milliseconds(100), 100);
  }
  EXPECT_EQ(granted, 100);
}

// Guards against refusing every request when one router's fraction of a small limit is less than
// one request.
TEST(CallerLimitTest, SmallLimitStillLetsRequestsThrough) {
  CallerLimit limit;
  limit.per_second = 1;
  CallerBucket bucket;
  EXPECT_EQ(CountGranted(&bucket, limit, 8, kNow, 5), 1);
  EXPECT_EQ(CountGranted(&bucket, limit, 8, kNow + std::chrono::seconds(7), 5), 0);
  EXPECT_EQ(CountGranted(&bucket, limit, 8, kNow + std::chrono::seconds(16), 5), 1);
}

TEST(CallerLimitTest, NoEntryMeansNoLimit) {
  CallerBucket bucket;
  EXPECT_EQ(CountGranted(&bucket, LimitOf({}, "caller"), 8, kNow, 1000), 1000);
}

// Guards against a caller that evades its limit by changing its name.
TEST(CallerLimitTest, UnlistedCallersShareOneEntry) {
  CallerLimits limits;
  limits["known"].per_second = 5;
  EXPECT_EQ(LimitNameOf(limits, "known"), "known");
  EXPECT_EQ(LimitNameOf(limits, "x1"), kOtherCallers);
  EXPECT_EQ(LimitNameOf(limits, ""), kOtherCallers);
}

// Guards against buckets that every release refills, so that callers get their burst again.
TEST(CallerLimitTest, NewReleaseKeepsUsedBuckets) {
  CallerLimits limits;
  limits["known"].per_second = 8;
  std::map<std::string, CallerBucket> buckets;
  EXPECT_EQ(CountGranted(&buckets["known"], limits["known"], 1, kNow, 100), 8);
  TryAcquireRequest(&buckets["dropped"], limits["known"], 1, kNow);
  RemoveUnlistedBuckets(limits, &buckets);
  EXPECT_EQ(buckets.size(), 1U);
  EXPECT_EQ(CountGranted(&buckets["known"], limits["known"], 1, kNow, 100), 0);
}

// Guards against an invalid entry that disables the limits of other callers.
TEST(CallerLimitTest, WrongEntriesAreReportedByPath) {
  FieldErrors errors;
  const CallerLimits limits = ReadCallerLimits({{"good", {{"per_second", 5}, {"weight", 2}}},
                                                {"bad", {{"per_second", -1}}},
                                                {"odd", {{"per_second", 5}, {"colour", 1}}},
                                                {"text", "5"}},
                                               &errors);
  ASSERT_EQ(limits.size(), 1U);
  EXPECT_EQ(limits.at("good").weight, 2);
  ASSERT_GE(errors.size(), 3U);
  EXPECT_EQ(errors[0].path, "limits.bad.per_second");
}

}  // namespace
}  // namespace pomelopond::routing
