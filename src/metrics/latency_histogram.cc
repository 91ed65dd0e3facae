#include "metrics/latency_histogram.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <limits>

namespace pomelopond::metrics {
namespace {

namespace bh = boost::histogram;

constexpr double kLowest = 10;          // microseconds
constexpr double kHighest = 100000000;  // microseconds
constexpr unsigned kBuckets = 140;      // 7 decades, 20 buckets each

using Axis = bh::axis::regular<double, bh::axis::transform::log>;

Axis MakeAxis() { return {kBuckets, kLowest, kHighest}; }

}  // namespace

struct LatencyHistogram::Impl {
  decltype(bh::make_histogram(MakeAxis())) histogram = bh::make_histogram(MakeAxis());
};

LatencyHistogram::LatencyHistogram() : impl_(new Impl) {}
LatencyHistogram::~LatencyHistogram() { delete impl_; }

void LatencyHistogram::Add(Duration value) {
  impl_->histogram(std::max<double>(1, static_cast<double>(value.count())));
}

HistogramCounts LatencyHistogram::Counts() const {
  HistogramCounts counts;
  for (int n = -1; n <= static_cast<int>(kBuckets); ++n) {
    counts.counts.push_back(static_cast<int64_t>(impl_->histogram.at(n)));
  }
  return counts;
}

const std::vector<double>& BucketBounds() {
  static const std::vector<double> bounds = [] {
    const Axis axis = MakeAxis();
    std::vector<double> all{kLowest};
    for (unsigned n = 0; n < kBuckets; ++n) all.push_back(axis.bin(static_cast<int>(n)).upper());
    all.push_back(std::numeric_limits<double>::infinity());
    return all;
  }();
  return bounds;
}

HistogramCounts Merge(const HistogramCounts& a, const HistogramCounts& b) {
  HistogramCounts sum = a;
  sum.counts.resize(std::max(a.counts.size(), b.counts.size()));
  for (size_t n = 0; n < b.counts.size(); ++n) sum.counts[n] += b.counts[n];
  return sum;
}

int64_t Total(const HistogramCounts& counts) {
  int64_t total = 0;
  for (const int64_t it : counts.counts) total += it;
  return total;
}

double Quantile(const HistogramCounts& counts, double q) {
  const int64_t total = Total(counts);
  if (total == 0) return 0;
  const auto rank =
      std::max<int64_t>(1, static_cast<int64_t>(std::ceil(q * static_cast<double>(total))));
  int64_t cumulative = 0;
  for (size_t n = 0; n < counts.counts.size(); ++n) {
    cumulative += counts.counts[n];
    if (cumulative >= rank) return BucketBounds()[n];
  }
  return BucketBounds().back();
}

}  // namespace pomelopond::metrics
