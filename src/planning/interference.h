// Estimates of how much batch work slows down services on the same host, learned from measurements.
#ifndef POMELOPOND_PLANNING_INTERFERENCE_H_
#define POMELOPOND_PLANNING_INTERFERENCE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"

namespace pomelopond::planning {

// Weight of one measurement in the mean once there are enough measurements. Measurements lag and
// are noisy, so a single one must not decide anything.
inline constexpr double kLearningRate = 0.05;
// Number of measurements from which on an estimate counts fully by default. With fewer
// measurements, the estimate is blended with the prior.
inline constexpr double kFullConfidence = 20;
// Assumed slowdown of a service per core of a batch class for which no measurement with this
// service exists.
inline constexpr double kPriorSlowdown = 0.02;
// Measurements taken less than this time after the set of tasks on a host changed are not used.
inline constexpr Duration kSettleTime = std::chrono::seconds(15);

// Estimated slowdown of a service class per core of a batch class; 0.1 is 10% more latency.
struct PairEstimate {
  double mean = 0;
  double count = 0;  // sum of the weights of the measurements in the mean

  friend bool operator==(const PairEstimate& a, const PairEstimate& b) {
    return a.mean == b.mean && a.count == b.count;
  }
};

// Orders pairs of classes. Pairs of string views can be looked up, so that a lookup copies no
// string.
struct ClassPairLess {
  using is_transparent = void;
  template <class A, class B>
  bool operator()(const A& a, const B& b) const {
    // Unlike tuples of strings, this compares no characters twice.
    const int order = std::string_view{a.first}.compare(b.first);
    return order < 0 || (order == 0 && std::string_view{a.second} < std::string_view{b.second});
  }
};

// Estimates by service class and batch class.
using InterferenceTable =
    std::map<std::pair<std::string, std::string>, PairEstimate, ClassPairLess>;

// Cores in use on a host, by batch class.
using BatchLoad = std::map<std::string, double>;

// One measurement of the slowdown of a service on a host.
struct SlowdownSample {
  std::string service_class;
  BatchLoad load;            // batch load at the time of the measurement
  double slowdown = 0;       // measured latency divided by the latency without batch work, minus 1
  Duration unchanged_for{};  // time since the load last changed
};

// Returns the expected slowdown of the service class per core of the batch class.
double SlowdownPerCore(const InterferenceTable& table, const std::string& service_class,
                       const std::string& batch_class, double full_confidence = kFullConfidence);

// Returns the expected slowdown of the service class under a batch load.
double ExpectedSlowdown(const InterferenceTable& table, const std::string& service_class,
                        const BatchLoad& load, double full_confidence = kFullConfidence);

// Updates the estimates from one measurement. The difference between the measured and the expected
// slowdown is distributed over the batch classes in proportion to their share of the load.
// Measurements without batch work, or on a load that has been unchanged for less than
// `settle_time`, are ignored.
void Learn(InterferenceTable* table, const SlowdownSample& sample,
           Duration settle_time = kSettleTime);

// Objective weights of the policy in force. Only their ratios matter.
struct OutcomeWeights {
  double tail_latency = 1;
  double throughput = 1;
  double evictions = 1;
};

// Returns the penalty of a host for a batch task that uses `cores`: the slowdown that the task adds
// to the services there, relative to the weight of throughput. The planner adds it to a host's
// utilization, where 1 is a full host.
double BatchPenalty(const InterferenceTable& table, const std::vector<std::string>& services,
                    const std::string& batch_class, double cores, const OutcomeWeights& weights);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_INTERFERENCE_H_
