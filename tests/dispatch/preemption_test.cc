#include "dispatch/preemption.h"

#include <gtest/gtest.h>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kBatch = "00000000000000b1";
constexpr const char* kUrgent = "00000000000000a1";

jobs::Job MakeJobWithPriority(const std::string& id, int priority, const jobs::Step& step) {
  jobs::Job job = MakeJob(id, {step});
  job.rules.priority = priority;
  return job;
}

// One full worker with four batch tasks of 4 cores each.
class PreemptionTest : public ::testing::Test {
 protected:
  void Fill(int priority) {
    it.AddWorkers({MakeWorker("w1")});
    jobs::Step step = MakeStep(4, 4000);
    step.checkpoint = true;
    it.dispatcher.AddJob(MakeJobWithPriority(kBatch, priority, step), {}, false);
    it.Decide();
    it.ConfirmStarts();
    it.Advance(std::chrono::seconds(1));
  }

  Scenario it;
};

// Guards against urgent tasks that wait for batch tasks on a full pool, and against stopping more
// runs than necessary, also while earlier stops are in progress.
TEST_F(PreemptionTest, UrgentTasksGetRoomFromLessUrgentOnes) {
  Fill(2);
  it.dispatcher.AddJob(MakeJobWithPriority(kUrgent, 0, MakeStep(2, 2000)), {}, false);
  it.Decide();
  EXPECT_EQ(it.orders.stops.size(), 1U);
  it.Decide();
  EXPECT_TRUE(it.orders.stops.empty());
  EXPECT_TRUE(it.orders.starts.empty());
}

TEST_F(PreemptionTest, JobsOfTheSamePriorityAreNotStopped) {
  Fill(1);
  it.dispatcher.AddJob(MakeJobWithPriority(kUrgent, 1, MakeStep(1, 2000)), {}, false);
  it.Decide();
  EXPECT_TRUE(it.orders.stops.empty());
}

// Guards against preemption for a task that would not fit even then.
TEST_F(PreemptionTest, NothingIsStoppedForATaskThatCannotFit) {
  Fill(2);
  it.dispatcher.AddJob(MakeJobWithPriority(kUrgent, 0, MakeStep(1, 17000)), {}, false);
  it.Decide();
  EXPECT_TRUE(it.orders.stops.empty());
}

// Guards against stopping a run without checkpoints when stopping another one loses less work.
TEST(PreemptionChoiceTest, StopsTheRunThatLosesLeast) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1", 8000)});
  jobs::Step plain = MakeStep(1, 4000);
  jobs::Step saved = plain;
  saved.checkpoint = true;
  it.dispatcher.AddJob(MakeJobWithPriority(kBatch, 2, plain), {}, false);
  it.dispatcher.AddJob(MakeJobWithPriority("00000000000000b2", 2, saved), {}, false);
  it.Decide();
  it.ConfirmStarts();
  it.Advance(std::chrono::seconds(2));
  it.Report("w1",
            {{{{kBatch, 0, 0, 0}, 1}, "", 50, 0}, {{{"00000000000000b2", 0, 0, 0}, 1}, "c", 50, 0}},
            {});
  it.dispatcher.AddJob(MakeJobWithPriority(kUrgent, 0, MakeStep(1, 4000)), {}, false);
  it.Decide();
  ASSERT_EQ(it.orders.stops.size(), 1U);
  EXPECT_EQ(it.orders.stops[0].run.task.job, "00000000000000b2");
}

}  // namespace
}  // namespace pomelopond::dispatch
