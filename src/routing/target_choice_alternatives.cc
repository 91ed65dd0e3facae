#include "routing/target_choice_alternatives.h"

#include <tuple>

namespace pomelopond::routing {
namespace {

int ChooseUniformly(const std::vector<Target>& targets, double draw, bool free_only) {
  std::vector<int> usable;
  for (size_t n = 0; n < targets.size(); ++n) {
    const Target& it = targets[n];
    if (it.leaving || (free_only && it.in_flight >= it.slot_share)) continue;
    usable.push_back(static_cast<int>(n));
  }
  if (usable.empty()) return -1;
  return usable[static_cast<size_t>(draw * static_cast<double>(usable.size()))];
}

int LeastWait(const std::vector<Target>& targets, double draw, bool free_only) {
  const auto offset = static_cast<size_t>(draw * static_cast<double>(targets.size()));
  int best = -1;
  int64_t best_wait = 0;
  for (size_t n = 0; n < targets.size(); ++n) {
    const size_t index = (n + offset) % targets.size();
    const Target& it = targets[index];
    if (it.leaving || (free_only && it.in_flight >= it.slot_share)) continue;
    const int64_t wait = it.latency.count() * (it.in_flight + 1);
    if (best >= 0 && wait >= best_wait) continue;
    best = static_cast<int>(index);
    best_wait = wait;
  }
  return best;
}

}  // namespace

int ChooseAnyFree(const std::vector<Target>& targets, double draw) {
  return ChooseUniformly(targets, draw, true);
}

int ChooseRoundRobin(const std::vector<Target>& targets, int last) {
  const auto size = static_cast<int>(targets.size());
  for (int n = 1; n <= size; ++n) {
    const int it = (last + n) % size;
    if (!targets[static_cast<size_t>(it)].leaving) return it;
  }
  return -1;
}

int ChooseRandom(const std::vector<Target>& targets, double draw) {
  return ChooseUniformly(targets, draw, false);
}

int ChoosePowerOfTwo(const std::vector<Target>& targets, double first_draw, double second_draw) {
  const int a = ChooseRandom(targets, first_draw);
  const int b = ChooseRandom(targets, second_draw);
  if (a < 0) return -1;
  const Target& first = targets[static_cast<size_t>(a)];
  const Target& second = targets[static_cast<size_t>(b)];
  return std::tie(second.in_flight, second.latency) < std::tie(first.in_flight, first.latency) ? b
                                                                                               : a;
}

int ChooseLeastWait(const std::vector<Target>& targets, double draw) {
  return LeastWait(targets, draw, false);
}

int ChooseFreeLeastWait(const std::vector<Target>& targets, double draw) {
  return LeastWait(targets, draw, true);
}

int ChooseProbed(const std::vector<Target>& targets, const std::vector<Probe>& probes,
                 int64_t slots) {
  int best = -1;
  std::tuple<bool, int64_t> best_rank;
  for (size_t n = 0; n < probes.size(); ++n) {
    const Probe& it = probes[n];
    if (targets[static_cast<size_t>(it.target)].leaving) continue;
    const bool hot = it.running >= slots;
    const std::tuple<bool, int64_t> rank{hot, hot ? it.running : it.latency.count()};
    if (best >= 0 && rank >= best_rank) continue;
    best = static_cast<int>(n);
    best_rank = rank;
  }
  return best;
}

}  // namespace pomelopond::routing
