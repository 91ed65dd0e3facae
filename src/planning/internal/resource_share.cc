#include "planning/internal/resource_share.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

double Ratio(int64_t part, int64_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

double Utilization(const Resources& used, const Resources& whole) {
  double utilization = 0;
  if (whole.cpu_milli > 0)
    utilization = std::max(utilization, Ratio(used.cpu_milli, whole.cpu_milli));
  if (whole.memory_mb > 0)
    utilization = std::max(utilization, Ratio(used.memory_mb, whole.memory_mb));
  if (whole.accelerators > 0)
    utilization = std::max(utilization, Ratio(used.accelerators, whole.accelerators));
  return utilization;
}

Resources Max(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_milli, b.cpu_milli), std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}

}  // namespace pomelopond::planning
