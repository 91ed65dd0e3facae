#include <gtest/gtest.h>

#include <optional>

#include "bench/support/owner_load.h"

namespace pomelopond::bench {
namespace {

// Above the target, an owner cannot start what a large pool asks for: jobs have nothing running.
TEST(OwnerCostTest, StartWithItsEndFitsTheOwnersProcessorTime) {
  OwnerLoad load;
  load.workers = 350;
  const std::optional<OwnerCost> cost = MeasureOwnerCost(load);
  ASSERT_TRUE(cost.has_value());
  EXPECT_GE(cost->starts_per_second, 0.9 * load.starts_per_second);
  EXPECT_GE(cost->ends_per_start, 0.9);
  EXPECT_LE(cost->processor_us, kTargetUsPerStart);
}

}  // namespace
}  // namespace pomelopond::bench
