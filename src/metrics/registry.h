// Named counters, gauges and histograms of a process, and their text format.
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

// A metric name with its labels, such as `requests_total{service="quotes"}`.
std::string Labelled(const std::string& name, const std::string& label, const std::string& value);

// Thread-safe.
class Registry {
 public:
  void Count(const std::string& name, int64_t n = 1);
  void Set(const std::string& name, int64_t value);
  void Observe(const std::string& name, Duration value);

  // The usual text exposition format, all names prefixed with "pomelopond_".
  std::string ExpositionText() const;

  // {"counters": {...}, "gauges": {...}, "histograms": {name: [counts]}}, for merging elsewhere.
  Json Snapshot() const;

 private:
  mutable std::mutex mutex_;  // guards all members below; a leaf in every lock order
  std::map<std::string, int64_t> counters_;
  std::map<std::string, int64_t> gauges_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>> histograms_;
};

}  // namespace pomelopond::metrics

#endif  // POMELOPOND_METRICS_REGISTRY_H_
