#include "routing/target.h"

#include <tuple>

namespace pomelopond::routing {
namespace {

// Weight of the newest answer; 0.2 follows a change of load within about ten answers.
constexpr double kLatencyWeight = 0.2;

// Expected time of one more request: targets run `in_flight` requests side by side already.
double EstimatedWait(const Target& target) {
  return static_cast<double>(target.latency.count()) * static_cast<double>(target.in_flight + 1);
}

}  // namespace

int ChooseTarget(const std::vector<Target>& targets, const std::string& near_domain, double draw) {
  int best = -1;
  std::tuple<double, bool, size_t> best_rank;
  const auto offset = static_cast<size_t>(draw * static_cast<double>(targets.size()));
  for (size_t n = 0; n < targets.size(); ++n) {
    const Target& it = targets[n];
    if (it.leaving || it.in_flight >= it.share) continue;
    const std::tuple<double, bool, size_t> rank{EstimatedWait(it), it.failure_domain != near_domain,
                                                (n + targets.size() - offset) % targets.size()};
    if (best >= 0 && rank >= best_rank) continue;
    best = static_cast<int>(n);
    best_rank = rank;
  }
  return best;
}

Duration UpdateLatency(Duration mean, Duration sample) {
  if (mean == Duration::zero()) return sample;
  const double next = (1 - kLatencyWeight) * static_cast<double>(mean.count()) +
                      kLatencyWeight * static_cast<double>(sample.count());
  return Duration(static_cast<int64_t>(next));
}

}  // namespace pomelopond::routing
