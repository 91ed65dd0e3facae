#include "dispatch/colocation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

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

// The definition that ExpectedTailRatio() computes without building the load.
double PlainTailRatio(const ColocationModel& model, const WorkerState& worker,
                      const std::string& image, double cores) {
  planning::BatchLoad load{{image, cores}};
  for (const auto& [id, it] : worker.runs) {
    if (it.best_effort) load[it.image] += static_cast<double>(it.request.cpu_milli) / 1000;
  }
  double worst = 0;
  for (const auto& [id, it] : worker.runs) {
    if (it.target_tail_ms <= 0) continue;
    const double tail = model.baseline_tail_ms.at(it.image) *
                        (1 + planning::ExpectedSlowdown(model.slowdown, it.image, load));
    worst = std::max(worst, tail / static_cast<double>(it.target_tail_ms));
  }
  return worst;
}

// Guards against a cheaper computation that places best-effort tasks elsewhere than its definition.
TEST(ExpectedTailTest, AgreesWithItsDefinitionOnRandomWorkers) {
  std::mt19937 random(7);
  const auto draw = [&random](int most) {
    return std::uniform_int_distribution<int>(0, most)(random);
  };
  for (int round = 0; round < 500; ++round) {
    ColocationModel model;
    for (const char* image : {"a", "b", "c", "d"}) model.baseline_tail_ms[image] = 50 + draw(60);
    WorkerState worker;
    for (int n = draw(8); n >= 0; --n) {
      jobs::Step step = draw(1) == 0 ? ServingStep(1) : BestEffortStep(1, "b");
      step.image = std::string(1, static_cast<char>('a' + draw(3)));
      AddRun(&worker, {{kServingJob, 0, 0, n}, 1}, step, 0, TimePoint{});
      model.slowdown[{"a", step.image}] = {draw(100) / 1000.0, 50};
    }
    const double expected = PlainTailRatio(model, worker, "c", 2);
    const double actual = ExpectedTailRatio(model, worker, "c", 2);
    if (expected <= kMaxExpectedTailRatio) {
      EXPECT_NEAR(actual, expected, 1e-9);
    } else {
      EXPECT_GT(actual, kMaxExpectedTailRatio);
      EXPECT_LE(actual, expected + 1e-9);
    }
  }
}

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

  void AnswerPaces() {
    for (const PaceOrder& order : it.orders.paces) {
      it.dispatcher.OnPaced(order, it.Accepted(), it.now);
    }
  }

  Scenario it;
};

// Guards against best-effort tasks that continue at their full share while they push a
// latency-critical task above its target, and against ones that are stopped for a single tail.
TEST_F(SharingTest, FillingTaskIsSlowedDownAtOnceWhenATailIsOverItsTarget) {
  ReportTail(kTargetMs / 3);
  EXPECT_TRUE(it.orders.paces.empty());
  ReportTail(kTargetMs * 2);
  EXPECT_TRUE(it.orders.stops.empty());
  ASSERT_EQ(it.orders.paces.size(), 1U);
  EXPECT_EQ(it.orders.paces[0].run, BestEffortRun(0));
  EXPECT_EQ(it.orders.paces[0].percent, kLowPace);
}

// Guards against best-effort tasks that continue while a latency-critical task stays above its
// target for 2 s, also when it is reported below it once.
TEST_F(SharingTest, FillingTaskGivesWayWhenATailStaysOverItsTarget) {
  std::vector<RunId> stopped;
  for (const int percent : {200, 200, 95, 200, 200}) {
    ReportTail(kTargetMs * percent / 100);
    AnswerPaces();
    for (const StopOrder& order : it.orders.stops) stopped.push_back(order.run);
  }
  ASSERT_EQ(stopped.size(), 1U);
  EXPECT_EQ(stopped[0], BestEffortRun(0));
}

// Guards against a run that goes on at an unknown pace after the answer to a pace order was lost.
TEST_F(SharingTest, PaceWithoutAnAnswerIsOrderedAgain) {
  ReportTail(kTargetMs * 2);
  ASSERT_EQ(it.orders.paces.size(), 1U);
  it.dispatcher.OnPaced(it.orders.paces[0], Answer{}, it.now);
  ReportTail(kTargetMs * 95 / 100);
  ASSERT_EQ(it.orders.paces.size(), 1U);
  EXPECT_EQ(it.orders.paces[0].percent, kLowPace);
}

// Guards against throttling best-effort tasks that interfere with no other task.
TEST_F(SharingTest, FillingTaskKeepsItsPaceWhileTailsAreLow) {
  for (int n = 0; n < 5; ++n) {
    ReportTail(kTargetMs / 3);
    EXPECT_TRUE(it.orders.paces.empty());
  }
}

// Guards against an owner that spends its processor time on reports that change nothing, and
// against one that hears of a rising tail too late to slow best-effort tasks down.
TEST_F(SharingTest, ReportsAreMoreFrequentWhileATailIsLong) {
  ReportTail(kTargetMs / 3);
  ASSERT_EQ(it.orders.heartbeats.size(), 1U);
  EXPECT_EQ(it.orders.heartbeats[0].wait, DispatchLimits{}.report_wait);
  ReportTail(kTargetMs * 4 / 5);
  ASSERT_EQ(it.orders.heartbeats.size(), 1U);
  EXPECT_EQ(it.orders.heartbeats[0].wait, DispatchLimits{}.report_wait / 2);
}

// Guards against a best-effort task that stays slowed down for longer than its neighbours need.
TEST_F(SharingTest, ReportsAreMoreFrequentWhileARunIsPaced) {
  ReportTail(kTargetMs * 95 / 100);
  ASSERT_EQ(it.orders.paces.size(), 1U);
  AnswerPaces();
  ReportTail(kTargetMs / 3);
  EXPECT_TRUE(it.orders.paces.empty());
  ASSERT_EQ(it.orders.heartbeats.size(), 1U);
  EXPECT_EQ(it.orders.heartbeats[0].wait, DispatchLimits{}.report_wait / 2);
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
  run.progress.percent = 100;
  run.load = 50;
  for (int n = 0; n < 100; ++n) LearnInterference(&model, worker, {}, TimePoint{});
  EXPECT_NEAR(model.baseline_tail_ms["service"], 50, 1);
  run.load = 150;
  worker.best_effort_load = {{"heavy", 2.0}};
  for (int n = 0; n < 100; ++n) {
    LearnInterference(&model, worker, worker.best_effort_load, TimePoint{});
  }
  // Two cores triple the tail: a slowdown of 1 per core.
  EXPECT_NEAR(planning::SlowdownPerCore(model.slowdown, "service", "heavy"), 1.0, 0.1);
  EXPECT_GT(ExpectedTailRatio(model, worker, "heavy", 2.0), kMaxExpectedTailRatio);
}

// A worker with one serving run of the image, without best-effort tasks.
WorkerState ServingWorker(int64_t tail_ms) {
  WorkerState worker;
  AddRun(&worker, ServingRun(0), ServingStep(1), 0, TimePoint{});
  RunState& run = worker.runs[ServingRun(0)];
  run.phase = RunPhase::kRunning;
  run.progress.percent = 100;
  run.load = tail_ms;
  return worker;
}

// Guards against slow workers, which best-effort tasks avoid, that raise the baseline for all: then
// no worker takes best-effort tasks any more.
TEST(SharingModelTest, TailsOfAFewSlowWorkersDoNotRaiseTheBaseline) {
  ColocationModel model;
  TimePoint now{};
  for (int n = 0; n < 100; ++n) {
    now += std::chrono::milliseconds(300);
    LearnInterference(&model, ServingWorker(50), {}, now);
    for (int k = 0; k < 3; ++k) LearnInterference(&model, ServingWorker(250), {}, now);
  }
  EXPECT_NEAR(model.baseline_tail_ms["service"], 50, 5);
}

// Guards against a baseline that never follows a service whose tails have become longer for good.
TEST(SharingModelTest, BaselineFollowsTailsThatStayLong) {
  ColocationModel model;
  TimePoint now{};
  for (int n = 0; n < 20; ++n) LearnInterference(&model, ServingWorker(50), {}, now);
  for (int n = 0; n < 100; ++n) {
    now += std::chrono::milliseconds(300);
    LearnInterference(&model, ServingWorker(200), {}, now);
  }
  EXPECT_NEAR(model.baseline_tail_ms["service"], 200, 20);
}

// Guards against a slow worker that is not known to be slow because nothing but services runs
// there.
TEST(SharingModelTest, LongTailsOfAllServicesTellASlowWorker) {
  ColocationModel model;
  model.baseline_tail_ms["service"] = 50;
  const std::vector<SpeedSample> slow = TailSpeeds(model, ServingWorker(250), TimePoint{});
  ASSERT_EQ(slow.size(), 1u);
  EXPECT_EQ(slow[0].image, kTailImage);
  EXPECT_DOUBLE_EQ(slow[0].speed, 0.2);
  EXPECT_DOUBLE_EQ(RelativeSpeed(SpeedModel{}, kTailImage, slow[0].speed), 0.2);
}

}  // namespace
}  // namespace pomelopond::dispatch
