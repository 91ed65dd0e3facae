#include "dispatch/answer_time.h"

#include <algorithm>

namespace pomelopond::dispatch {
namespace {

// A step changes the estimate by up to this part of it. It rises by one unit with each answer that
// took longer and falls by three with each other one, so it rests where a quarter of the answers
// took less.
constexpr int kStepDivisor = 128;
constexpr int kUnitsDown = 3;
constexpr Duration kMinEstimate = std::chrono::milliseconds(1);

}  // namespace

Duration UpdateLowerQuartile(Duration estimate, Duration took) {
  const Duration unit = estimate / kStepDivisor;
  const Duration next = took > estimate ? estimate + unit : estimate - kUnitsDown * unit;
  return std::max(next, kMinEstimate);
}

}  // namespace pomelopond::dispatch
