#include "planning/interference.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

// Larger slowdowns are caused by a fault of the service or of the measurement, not by interference,
// and are clamped to this.
constexpr double kMaxSlowdown = 20;

using ClassPairView = std::pair<std::string_view, std::string_view>;

}  // namespace

double SlowdownPerCore(const InterferenceTable& table, const std::string& service_class,
                       const std::string& batch_class, double full_confidence) {
  const auto it = table.find(ClassPairView(service_class, batch_class));
  if (it == table.end()) return kPriorSlowdown;
  const double confidence = std::min(1.0, it->second.count / full_confidence);
  return confidence * it->second.mean + (1 - confidence) * kPriorSlowdown;
}

double ExpectedSlowdown(const InterferenceTable& table, const std::string& service_class,
                        const BatchLoad& load, double full_confidence) {
  double slowdown = 0;
  for (const auto& [batch_class, cores] : load) {
    slowdown += cores * SlowdownPerCore(table, service_class, batch_class, full_confidence);
  }
  return slowdown;
}

void Learn(InterferenceTable* table, const SlowdownSample& sample, Duration settle_time) {
  if (sample.unchanged_for < settle_time) return;
  double total = 0;
  double squared_cores = 0;
  for (const auto& [batch_class, cores] : sample.load) {
    total += cores;
    squared_cores += cores * cores;
  }
  if (total <= 0) return;
  const double slowdown = std::clamp(sample.slowdown, 0.0, kMaxSlowdown);
  double expected = 0;
  for (const auto& [batch_class, cores] : sample.load) {
    const auto it = table->find(ClassPairView(sample.service_class, batch_class));
    expected += cores * (it == table->end() ? kPriorSlowdown : it->second.mean);
  }
  const double residual = slowdown - expected;
  for (const auto& [batch_class, cores] : sample.load) {
    if (cores <= 0) continue;
    auto it = table->find(ClassPairView(sample.service_class, batch_class));
    if (it == table->end()) {
      it = table->try_emplace({sample.service_class, batch_class}, PairEstimate{kPriorSlowdown, 0})
               .first;
    }
    PairEstimate& estimate = it->second;
    const double load_share = cores / total;
    estimate.count += load_share;
    // The estimate is an arithmetic mean at first and an exponentially weighted mean later.
    const double rate = std::max(kLearningRate, 1 / (1 + estimate.count));
    estimate.mean = std::max(0.0, estimate.mean + rate * residual * cores / squared_cores);
  }
}

double BatchPenalty(const InterferenceTable& table, const std::vector<std::string>& services,
                    const std::string& batch_class, double cores, const OutcomeWeights& weights) {
  double slowdown = 0;
  for (const std::string& it : services) {
    slowdown = std::max(slowdown, cores * SlowdownPerCore(table, it, batch_class));
  }
  return slowdown * weights.tail_latency / std::max(weights.throughput, 0.01);
}

}  // namespace pomelopond::planning
