#include "metrics/latency_histogram.h"

#include <gtest/gtest.h>

namespace pomelopond::metrics {
namespace {

// Guards against quantiles that are distorted when the histograms of several processes are merged.
TEST(LatencyHistogramTest, MergedQuantilesAreWithinABucket) {
  LatencyHistogram a;
  LatencyHistogram b;
  for (int n = 1; n <= 1000; ++n) (n % 2 == 0 ? a : b).Add(std::chrono::milliseconds(n));
  const HistogramCounts all = Merge(a.Counts(), b.Counts());
  EXPECT_EQ(Total(all), 1000);
  EXPECT_NEAR(Quantile(all, 0.5), 500e3, 500e3 * 0.13);
  EXPECT_NEAR(Quantile(all, 0.99), 990e3, 990e3 * 0.13);
  EXPECT_EQ(Quantile(HistogramCounts{}, 0.5), 0);
}

TEST(LatencyHistogramTest, ExtremesStayInTheOuterBuckets) {
  LatencyHistogram it;
  it.Add(Duration(0));
  it.Add(std::chrono::hours(5));
  const HistogramCounts counts = it.Counts();
  EXPECT_EQ(counts.counts.size(), BucketBounds().size());
  EXPECT_EQ(counts.counts.front(), 1);
  EXPECT_EQ(counts.counts.back(), 1);
}

}  // namespace
}  // namespace pomelopond::metrics
