// Latency histograms that can be merged across processes.
#ifndef POMELOPOND_METRICS_LATENCY_HISTOGRAM_H_
#define POMELOPOND_METRICS_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace pomelopond::metrics {

// Counts by bucket. All histograms have the same buckets: logarithmic from 10 us to 100 s, 20 to a
// factor of 10 (about 12% wide), with underflow first and overflow last.
struct HistogramCounts {
  std::vector<int64_t> counts;

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

  // Not thread-safe.
  void Add(Duration value);
  HistogramCounts Counts() const;

 private:
  struct Impl;
  Impl* impl_;
};

// Upper bound in microseconds of each bucket; the last is infinite.
const std::vector<double>& BucketBounds();

HistogramCounts Merge(const HistogramCounts& a, const HistogramCounts& b);

int64_t Total(const HistogramCounts& counts);

// Upper bound in microseconds of the bucket that holds the quantile `q` in [0, 1]; 0 when empty.
double Quantile(const HistogramCounts& counts, double q);

}  // namespace pomelopond::metrics

#endif  // POMELOPOND_METRICS_LATENCY_HISTOGRAM_H_
