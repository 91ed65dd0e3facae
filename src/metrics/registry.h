// Registry of the counters, gauges and histograms of a process, and their exposition formats.
#ifndef POMELOPOND_METRICS_REGISTRY_H_
#define POMELOPOND_METRICS_REGISTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/json.h"
#include "metrics/latency_histogram.h"

namespace pomelopond::metrics {

// Returns a metric name with a label, such as `requests_total{service="quotes"}`.
std::string Labelled(const std::string& name, const std::string& label, const std::string& value);

// The metrics of a process. Metrics are created on first use. Thread-safe.
class Registry {
 public:
  void Count(const std::string& name, int64_t n = 1);
  void Set(const std::string& name, int64_t value);
  void Observe(const std::string& name, Duration value);

  // Returns the metrics in the Prometheus text exposition format. All names have the prefix
  // "pomelopond_".
  std::string ExpositionText() const;

  // Returns {"counters": {...}, "gauges": {...}, "histograms": {name: [counts]}}, which can be
  // merged with the snapshots of other processes.
  Json Snapshot() const;

 private:
  // Guards all members below. No other mutex is acquired while it is held.
  mutable std::mutex mutex_;
  std::map<std::string, int64_t> counters_;
  std::map<std::string, int64_t> gauges_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> histograms_;
};

}  // namespace pomelopond::metrics

#endif  // POMELOPOND_METRICS_REGISTRY_H_
