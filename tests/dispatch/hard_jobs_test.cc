// Jobs of legal size and hard shape: what one decision costs, and the tasks of other jobs beside
// them.
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;

// The ownership is renewed each 0.5 s on the thread that decides. A host with a tenth of a core has
// 50 ms of a core in that time. Sanitizers make the code some ten times slower.
#ifdef __SANITIZE_ADDRESS__
constexpr Duration kDecisionBound = milliseconds(500);
#else
constexpr Duration kDecisionBound = milliseconds(50);
#endif
constexpr int kMostReplicas = 10000;
constexpr int kWorkers = 8;

Duration ProcessorTime() {
  timespec it{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(it.tv_sec) +
                                              std::chrono::nanoseconds(it.tv_nsec));
}

std::string IdOf(int n) {
  const std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

jobs::Step SmallStep(int replicas, int64_t cpu_milli = 10) {
  jobs::Step step = MakeStep(replicas, cpu_milli);
  step.request.memory_mb = 0;
  step.estimate_ms = 300;
  return step;
}

jobs::Step GangOf(int replicas, int max_per_worker = 0) {
  jobs::Step step = SmallStep(replicas);
  step.gang = true;
  step.max_per_worker = max_per_worker;
  return step;
}

class HardJobsTest : public ::testing::Test {
 protected:
  void AddWorkers(int n) {
    std::vector<WorkerInfo> infos;
    for (int k = 1; k <= n; ++k) infos.push_back(MakeWorker("w" + std::to_string(k)));
    it.AddWorkers(infos);
  }

  void Add(const std::string& id, const std::vector<jobs::Step>& steps) {
    it.dispatcher.AddJob(MakeJob(id, steps), {}, false);
  }

  // Makes decisions for `passed` and records the processor time of the longest one.
  void DecideFor(Duration passed) {
    constexpr Duration kStep = milliseconds(50);
    for (Duration n{}; n < passed; n += kStep) {
      it.Advance(kStep);
      const Duration began = ProcessorTime();
      it.Decide();
      longest = std::max(longest, ProcessorTime() - began);
      for (const StartOrder& order : it.orders.starts) started.push_back(order.run.task.job);
      it.ConfirmStarts();
    }
  }

  bool HasStarted(const std::string& job) const {
    return std::find(started.begin(), started.end(), job) != started.end();
  }

  Scenario it;
  Duration longest{};
  std::vector<std::string> started;  // jobs of the tasks
};

// Guards against a decision that outlasts the ownership, so that no task of any job starts any
// more: gangs that fit nowhere, whose members are counted anew for each worker and member
// (review/11).
TEST_F(HardJobsTest, GangsThatFitNowhereCostADecisionLittle) {
  AddWorkers(kWorkers);
  Add(IdOf(1), std::vector<jobs::Step>(5, GangOf(kMostReplicas, 1200)));
  Add(IdOf(2), {MakeStep(1)});
  DecideFor(milliseconds(200));
  EXPECT_LE(longest, kDecisionBound);
  EXPECT_TRUE(HasStarted(IdOf(2)));
  EXPECT_FALSE(HasStarted(IdOf(1)));
}

// Processor time of the decision that starts a gang of `members`.
Duration StartTime(int members) {
  Scenario it;
  std::vector<WorkerInfo> infos;
  for (int n = 1; n <= kWorkers; ++n) infos.push_back(MakeWorker("w" + std::to_string(n)));
  it.AddWorkers(infos);
  it.dispatcher.AddJob(MakeJob(IdOf(1), {GangOf(members)}), {}, false);
  it.Advance(milliseconds(50));
  const Duration began = ProcessorTime();
  it.Decide();
  const Duration took = ProcessorTime() - began;
  EXPECT_EQ(it.orders.starts.size(), static_cast<size_t>(members));
  return took;
}

// Guards against the same for a gang whose members find room: its start cannot be divided. It may
// take the processor time of half the lease and grows by less than the square of the members, for
// which ten times as many would cost a hundred times as much. Unoptimized code with sanitizers
// tells only the growth.
TEST(LargestGangTest, StartsInOneDecision) {
  constexpr int kMostGrowth = 40;
  const Duration tenth = StartTime(kMostReplicas / 10);
  const Duration largest = StartTime(kMostReplicas);
  EXPECT_LE(largest, kMostGrowth * tenth);
#ifndef __SANITIZE_ADDRESS__
  EXPECT_LE(largest, 2 * kDecisionBound);
#endif
}

// Guards against a decision whose cost grows with the square of a step's tasks: the runs of the
// step are counted for each worker that is looked at.
TEST_F(HardJobsTest, LimitPerWorkerCostsADecisionLittle) {
  AddWorkers(400);
  jobs::Step step = SmallStep(kMostReplicas);
  step.max_per_worker = 1;
  for (int n = 1; n <= 10; ++n) Add(IdOf(n), {step});
  Add(IdOf(99), {MakeStep(1)});
  DecideFor(milliseconds(2000));
  EXPECT_LE(longest, kDecisionBound);
  EXPECT_TRUE(HasStarted(IdOf(99)));
}

// Guards against waiting gangs that take all the time of the decisions, and against a gang with
// room that never has its turn beside them.
TEST_F(HardJobsTest, ManyGangsThatFitNowhereKeepNoJobFromItsTurn) {
  AddWorkers(100);
  for (int n = 1; n <= 10; ++n) Add(IdOf(n), std::vector<jobs::Step>(300, GangOf(200, 1)));
  Add(IdOf(98), {GangOf(50)});
  Add(IdOf(99), {MakeStep(1)});
  DecideFor(milliseconds(3000));
  EXPECT_LE(longest, kDecisionBound);
  EXPECT_TRUE(HasStarted(IdOf(98)));
  EXPECT_TRUE(HasStarted(IdOf(99)));
}

// Guards against the same for ordinary steps that fit nowhere, of which none is larger than another
// in all amounts: each has to be compared with the others, or to be looked for on all workers.
TEST_F(HardJobsTest, DistinctStepsThatFitNowhereCostADecisionLittle) {
  constexpr int kJobs = 20;
  constexpr int kSteps = 1000;
  std::vector<WorkerInfo> infos;
  for (int n = 1; n <= 400; ++n) {
    infos.push_back(MakeWorker("w" + std::to_string(n)));
    infos.back().capacity = n % 2 == 0 ? Resources{16000, 1000, 0} : Resources{1000, 64000, 0};
  }
  it.AddWorkers(infos);
  for (int n = 0; n < kJobs; ++n) {
    std::vector<jobs::Step> steps;
    for (int k = 1; k <= kSteps; ++k) {
      steps.push_back(MakeStep(1, 1000 + k));
      steps.back().request.memory_mb = 1001 + (kSteps - k) * kJobs + n;
    }
    // Jobs with a gang have a turn of their own at the limit of starts.
    steps.push_back(GangOf(1000, 1));
    Add(IdOf(n), steps);
  }
  Add(IdOf(99), {MakeStep(1)});
  DecideFor(milliseconds(1000));
  EXPECT_LE(longest, kDecisionBound) << longest.count() << " us";
  EXPECT_TRUE(HasStarted(IdOf(99)));
}

}  // namespace
}  // namespace pomelopond::dispatch
