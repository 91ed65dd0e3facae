#include "dispatch/colocation.h"

#include <gtest/gtest.h>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kServingJob = "00000000000000b1";
constexpr const char* kBestEffortJob = "00000000000000b2";
constexpr int64_t kTargetMs = 150;

jobs::Step ServingStep(int replicas) {
  jobs::Step step = MakeStep(replicas, 4000);
  step.perpetual = true;
  step.image = "service";
  step.target_tail_ms = kTargetMs;
  return step;
}

jobs::Step BestEffortStep(int replicas, const std::string& image) {
  jobs::Step step = MakeStep(replicas, 2000);
  step.best_effort = true;
  step.checkpoint = true;
  step.image = image;
  return step;
}

RunId ServingRun(int index) { return {{kServingJob, 0, 0, index}, 1}; }
RunId BestEffortRun(int index) { return {{kBestEffortJob, 0, 0, index}, 1}; }

// One worker with a latency-critical task and a best-effort task of the image "heavy".
class SharingTest : public ::testing::Test {
 protected:
  SharingTest() {
    it.AddWorkers({MakeWorker("w1")});
    it.dispatcher.AddJob(MakeJob(kServingJob, {ServingStep(1)}), {}, false);
    it.dispatcher.AddJob(MakeJob(kBestEffortJob, {BestEffortStep(1, "heavy")}), {}, false);
    it.Decide();
    it.ConfirmStarts();
  }

  void ReportTail(int64_t tail_ms) {
    it.Advance(std::chrono::milliseconds(500));
    it.Report("w1", {{ServingRun(0), "", 100, tail_ms}, {BestEffortRun(0), "c1", 10, 2000}}, {});
    it.Decide();
  }

  Scenario it;
};

// Guards against best-effort tasks that continue while they push a latency-critical task above its
// target.
TEST_F(SharingTest, FillingTaskGivesWayWhenATailIsOverItsTarget) {
  ReportTail(kTargetMs / 3);
  EXPECT_TRUE(it.orders.stops.empty());
  ReportTail(kTargetMs * 2);
  ASSERT_EQ(it.orders.stops.size(), 1U);
  EXPECT_EQ(it.orders.stops[0].run, BestEffortRun(0));
}

// Guards against throttling best-effort tasks that interfere with no other task.
TEST_F(SharingTest, FillingTaskKeepsItsPaceWhileTailsAreLow) {
  for (int n = 0; n < 5; ++n) {
    ReportTail(kTargetMs / 3);
    EXPECT_TRUE(it.orders.paces.empty());
  }
}

// Guards against placing an image beside a latency-critical task again although its tail latency
// rose each time before.
TEST_F(SharingTest, DisturbingImageIsNotPlacedBesideTheServiceAgain) {
  for (int n = 0; n < 3; ++n) ReportTail(kTargetMs * 3);
  it.Report("w1", {{ServingRun(0), "", 100, kTargetMs / 3}},
            {End(1, BestEffortRun(0), EndKind::kStopped, "c1")});
  it.CommitAll();
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.AddWorkers({MakeWorker("w2")});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, "w2");
  EXPECT_EQ(it.orders.starts[0].checkpoint, "c1");
}

TEST(SharingModelTest, LearnsTheQuietTailAndTheSlowdownOfAnImage) {
  ColocationModel model;
  WorkerState worker;
  AddRun(&worker, ServingRun(0), ServingStep(1), 0, TimePoint{});
  RunState& run = worker.runs[ServingRun(0)];
  run.phase = RunPhase::kRunning;
  run.percent = 100;
  run.load = 50;
  for (int n = 0; n < 100; ++n) LearnInterference(&model, worker, {});
  EXPECT_NEAR(model.baseline_tail_ms["service"], 50, 1);
  run.load = 150;
  worker.best_effort_load = {{"heavy", 2.0}};
  for (int n = 0; n < 100; ++n) LearnInterference(&model, worker, worker.best_effort_load);
  // Two cores triple the tail: a slowdown of 1 per core.
  EXPECT_NEAR(planning::SlowdownPerCore(model.slowdown, "service", "heavy"), 1.0, 0.1);
  EXPECT_GT(ExpectedTailRatio(model, worker, "heavy", 2.0), kMaxExpectedTailRatio);
}

}  // namespace
}  // namespace pomelopond::dispatch
