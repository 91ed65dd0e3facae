// How much batch work slows services on the same host, learned from measurements.
#ifndef POMELOPOND_PLANNING_INTERFERENCE_H_
#define POMELOPOND_PLANNING_INTERFERENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace pomelopond::planning {

// Weight of one measurement in the mean once there are enough of them. Measurements lag and are
// noisy, so a single one may not decide anything.
inline constexpr double kLearningRate = 0.05;
// Measurements after which an estimate counts fully by default; below that it is drawn towards the
// prior.
inline constexpr double kFullConfidence = 20;
// Assumed slowdown of a service by a core of a batch class that was never measured with it.
inline constexpr double kPriorSlowdown = 0.02;
// Measurements taken sooner than this after the set of tasks on a host changed are not used.
inline constexpr Duration kSettleTime = std::chrono::seconds(15);

// Slowdown of the service class per core of the batch class: 0.1 is 10% more latency.
struct PairEstimate {
  double mean = 0;
  double count = 0;  // weight of the measurements in the mean

  friend bool operator==(const PairEstimate& a, const PairEstimate& b) {
    return a.mean == b.mean && a.count == b.count;
  }
};

// By service class and batch class.
using InterferenceTable = std::map<std::pair<std::string, std::string>, PairEstimate>;

// Cores in use by each batch class on a host.
using BatchLoad = std::map<std::string, double>;

// One measurement of a service on a host.
struct SlowdownSample {
  std::string service_class;
  BatchLoad load;            // as it was when the measurement was taken
  double slowdown = 0;       // measured latency divided by that without batch work, minus 1
  Duration unchanged_for{};  // how long the load had been unchanged
};

// The slowdown per core that the table expects of a pair.
double SlowdownPerCore(const InterferenceTable& table, const std::string& service_class,
                       const std::string& batch_class, double full_confidence = kFullConfidence);

// The slowdown that the table expects of a load.
double ExpectedSlowdown(const InterferenceTable& table, const std::string& service_class,
                        const BatchLoad& load, double full_confidence = kFullConfidence);

// Learns from a measurement: the error of the expected slowdown is shared out over the classes by
// their part of the load. Measurements without batch work, or on a load that has been unchanged for
// less than `settle_time`, teach nothing.
void Learn(InterferenceTable* table, const SlowdownSample& sample,
           Duration settle_time = kSettleTime);

// Importance of the three outcomes, from the policy in force. Only their relation matters.
struct OutcomeWeights {
  double tail_latency = 1;
  double throughput = 1;
  double evictions = 1;
};

// Penalty of a host for a batch task of `cores`: what it adds to the slowdown of the services
// there, relative to what throughput is worth. For Planner scores, where 1 is a full host.
double BatchPenalty(const InterferenceTable& table, const std::vector<std::string>& services,
                    const std::string& batch_class, double cores, const OutcomeWeights& weights);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_INTERFERENCE_H_
