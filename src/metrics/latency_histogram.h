// Latency histograms with fixed buckets, which can be merged across processes.
#ifndef POMELOPOND_METRICS_LATENCY_HISTOGRAM_H_
#define POMELOPOND_METRICS_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace pomelopond::metrics {

// The counts of a histogram. All histograms have the same buckets: logarithmic from 10 us to 100 s
// with 20 buckets per decade (each about 12% wide), preceded by an underflow bucket and followed by
// an overflow bucket.
struct HistogramCounts {
  std::vector<int64_t> counts;  // number of values by bucket

  friend bool operator==(const HistogramCounts& a, const HistogramCounts& b) {
    return a.counts == b.counts;
  }
};

class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  // Adds a value. Not thread-safe.
  void Add(Duration value);
  HistogramCounts Counts() const;

 private:
  struct Impl;
  Impl* impl_;
};

// Returns the upper bound of each bucket in microseconds. The last bound is infinite.
const std::vector<double>& BucketBounds();

HistogramCounts Merge(const HistogramCounts& a, const HistogramCounts& b);

int64_t Total(const HistogramCounts& counts);

// Returns the upper bound in microseconds of the bucket that contains the quantile `q` in [0, 1].
// Returns 0 if the histogram is empty.
double Quantile(const HistogramCounts& counts, double q);

}  // namespace pomelopond::metrics

#endif  // POMELOPOND_METRICS_LATENCY_HISTOGRAM_H_
