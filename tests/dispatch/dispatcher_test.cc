#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";

RunId RunOf(int step, int index, int64_t run) { return {{kJob, 0, step, index}, run}; }

// Guards against tasks that start twice, or not at all, when there is capacity for all.
TEST(DispatcherTest, StartsEachTaskOnce) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1"), MakeWorker("w2")});
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(3)}), {}, false);
  it.Decide();
  EXPECT_EQ(it.Started(), (std::vector<RunId>{RunOf(0, 0, 1), RunOf(0, 1, 1), RunOf(0, 2, 1)}));
  it.ConfirmStarts();
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against a step that starts before all tasks of the steps that it depends on are done.
TEST(DispatcherTest, LaterStepWaitsForAllTasksOfTheEarlierOne) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  jobs::Step second = MakeStep(1);
  second.after = {0};
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(2), second}), {}, false);
  it.Decide();
  it.ConfirmStarts();
  it.Report("w1", {{RunOf(0, 1, 1), "", 50, 0}}, {End(1, RunOf(0, 0, 1), EndKind::kDone)});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.CommitAll();
  it.Report("w1", {}, {End(2, RunOf(0, 1, 1), EndKind::kDone)});
  it.Decide();
  EXPECT_EQ(it.Started(), std::vector<RunId>{RunOf(1, 0, 1)});
}

// Guards against an ended run that is acknowledged before it is durable: the worker would delete
// it, and the next owner would start the task again. A repeated report of the same end must not
// change that.
TEST(DispatcherTest, EndIsAcknowledgedOnlyWhenDurable) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(2)}), {}, false);
  it.Decide();
  it.ConfirmStarts();
  // The commit of the job's start is in flight when the end is reported.
  const std::optional<Commit> open = it.dispatcher.NextCommit(it.now, it.WallMs());
  ASSERT_TRUE(open.has_value());
  const std::vector<ActiveRun> active = {{RunOf(0, 1, 1), "", 50, 0}};
  const std::vector<EndedRun> ended = {End(1, RunOf(0, 0, 1), EndKind::kDone)};
  it.Report("w1", active, ended);
  it.Advance(std::chrono::milliseconds(600));
  it.Report("w1", active, ended);
  it.dispatcher.OnCommitted(*open);
  EXPECT_EQ(it.dispatcher.workers().at("w1").acknowledged, 0);
  it.CommitAll();
  EXPECT_EQ(it.dispatcher.workers().at("w1").acknowledged, 1);
}

// Guards against a task that waits for ever for a run that its worker no longer knows.
TEST(MissingRunTest, RunThatTheNextReportDoesNotListHasEnded) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  it.dispatcher.AddJob(MakeJob("00000000000000aa", {MakeStep(1)}), {}, false);
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  const RunId run = it.orders.starts[0].run;
  it.ConfirmStarts();
  it.Report("w1", {{run, "", 10, 0}}, {});
  it.Advance(std::chrono::milliseconds(100));
  it.Decide();
  it.Report("w1", {}, {});
  it.Advance(std::chrono::milliseconds(100));
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].run.run, run.run + 1);
}

}  // namespace
}  // namespace pomelopond::dispatch
