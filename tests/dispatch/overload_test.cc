// What callers get for their jobs when more work arrives than the pool can do.
#include <gtest/gtest.h>

#include "tests/dispatch/simulated_load.h"

namespace pomelopond::dispatch {
namespace {

struct Outcome {
  double value = 0;    // part of the value of all jobs
  double on_time = 0;  // share of all jobs
  double largest = 0;  // of the largest tenth
  double next = 0;     // of the next two tenths
};

Outcome Play(LoadShape shape, bool order_by_work) {
  Outcome out;
  constexpr unsigned kSeeds = 3;
  for (shape.seed = 1; shape.seed <= kSeeds; ++shape.seed) {
    shape.order_by_work = order_by_work;
    const std::vector<LoadedJob> jobs = SimulatedLoad(shape).Run();
    const size_t n = jobs.size();
    out.value += ValueShare(jobs) / kSeeds;
    out.on_time += OnTime(jobs, 0, n) / kSeeds;
    out.largest += OnTime(jobs, n - n / 10, n) / kSeeds;
    out.next += OnTime(jobs, n - 3 * n / 10, n - n / 10) / kSeeds;
  }
  std::printf(
      "%s load %.1f burst %.1f urgent %.1f: value %.3f on time %.3f largest %.3f next %.3f\n",
      order_by_work ? "work" : "age ", shape.load, shape.burst, shape.urgent_share, out.value,
      out.on_time, out.largest, out.next);
  return out;
}

// Guards against an order that lets few large jobs displace many small ones, and against one that
// starves the large ones.
void ExpectMoreValue(const LoadShape& shape, double min_gain) {
  const Outcome by_age = Play(shape, false);
  const Outcome by_work = Play(shape, true);
  EXPECT_GE(by_work.value, by_age.value + min_gain);
  EXPECT_GE(by_work.on_time, by_age.on_time);
  EXPECT_GE(by_work.largest, by_work.on_time / 2);
  EXPECT_GE(by_work.next, by_work.on_time / 2);
}

TEST(OverloadTest, MoreValueOnTimeUnderSlightOverload) {
  LoadShape shape;
  shape.load = 1.2;
  ExpectMoreValue(shape, 0.01);
}

TEST(OverloadTest, MoreValueOnTimeUnderOverload) {
  LoadShape shape;
  shape.load = 1.7;
  ExpectMoreValue(shape, 0.01);
}

TEST(OverloadTest, MoreValueOnTimeUnderHeavyOverload) {
  LoadShape shape;
  shape.load = 2.5;
  ExpectMoreValue(shape, 0.01);
}

TEST(OverloadTest, MoreValueOnTimeInABurst) {
  LoadShape shape;
  shape.load = 0.7;
  shape.burst = 4;
  ExpectMoreValue(shape, 0.01);
}

TEST(OverloadTest, MoreValueOnTimeWithMixedPriorities) {
  LoadShape shape;
  shape.load = 1.5;
  shape.urgent_share = 0.4;
  ExpectMoreValue(shape, 0.01);
}

// Guards against an order that changes what callers get while there is room for all jobs.
TEST(OverloadTest, LightLoadIsServedAsBefore) {
  LoadShape shape;
  shape.load = 0.3;
  const Outcome by_age = Play(shape, false);
  const Outcome by_work = Play(shape, true);
  EXPECT_EQ(by_work.on_time, by_age.on_time);
  EXPECT_EQ(by_work.value, by_age.value);
}

}  // namespace
}  // namespace pomelopond::dispatch
