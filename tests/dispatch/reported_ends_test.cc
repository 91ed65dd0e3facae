// Ended runs that a new owner must learn of before it starts tasks: those that a worker has not
// listed yet, and those that the last owner had not made durable.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr const char* kJob = "00000000000000aa";

RunId RunOf(int step, int index, int64_t run) { return {{kJob, 0, step, index}, run}; }

// Guards against a second run of a task whose end the worker has not listed yet, as a report holds
// a limited number of ends (review case 2).
TEST(CutReportTest, HoldsUpTasksWhoseEndsMayFollow) {
  Scenario it(2);
  it.Inherit({Encode({{"w1", "pool", MakeWorker("w1").endpoint}}), {}});
  it.dispatcher.UpdateWorker(MakeWorker("w1"), it.now);
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(3)}), {}, true);
  it.CommitAll();
  it.Decide();
  const auto report = [&it](std::vector<EndedRun> ended, bool is_cut) {
    HeartbeatOrder order;
    order.to = {"w1", MakeWorker("w1").endpoint};
    it.dispatcher.OnReport(order, {it.Accepted(), {}, std::move(ended), is_cut}, it.now,
                           it.WallMs());
    it.CommitAll();
    it.Advance(milliseconds(100));
    it.Decide();
  };
  report({End(1, RunOf(0, 0, 1), EndKind::kDone)}, true);
  EXPECT_TRUE(it.orders.starts.empty());
  report({End(2, RunOf(0, 1, 1), EndKind::kDone)}, true);
  EXPECT_TRUE(it.orders.starts.empty());
  report({}, false);
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].run.task.index, 2);
}

// An owner that has been told of more ends than one commit makes durable, and dies after that
// commit. Worker w1 holds no run any more.
class UndurableEndsTest : public ::testing::Test {
 protected:
  static constexpr int kJobs = 30;

  UndurableEndsTest() {
    it.AddWorkers({MakeWorker("w1", 64000)});
    for (int n = 0; n < kJobs; ++n) {
      it.dispatcher.AddJob(MakeJob("job-" + std::to_string(n), {MakeStep(1)}), {}, false);
    }
    it.Advance(milliseconds(100));
    it.Decide();
    EXPECT_EQ(it.orders.starts.size(), size_t{kJobs});
    it.ConfirmStarts();
    it.CommitAll();
  }

  void ReportEnds() {
    std::vector<EndedRun> ended;
    for (const StartOrder& order : it.orders.starts) {
      ended.push_back(End(static_cast<int64_t>(ended.size()) + 1, order.run, EndKind::kDone));
    }
    it.Report("w1", {}, std::move(ended));
  }
  Commit NextCommit() {
    it.Decide();
    const std::optional<Commit> commit = it.dispatcher.NextCommit(it.now, it.WallMs());
    EXPECT_TRUE(commit.has_value());
    EXPECT_LT(commit->progress.size(), size_t{kJobs});
    return *commit;
  }

  Scenario it;
};

// Guards against tasks that run again after they are done: the next owner doesn't ask a worker that
// is not on the list, and is not told of the ends that were not durable.
TEST_F(UndurableEndsTest, KeepAWorkerThatLeavesOnTheList) {
  WorkerInfo leaving = MakeWorker("w1", 64000);
  leaving.draining = true;
  it.dispatcher.UpdateWorker(leaving, it.now);
  ReportEnds();
  const Commit first = NextCommit();
  if (first.workers_in_use) {
    EXPECT_EQ(DecodeWorkersInUse(*first.workers_in_use).value.size(), 1U);
  }
  it.dispatcher.OnCommitted(first);
  it.CommitAll();
  it.Decide();
  it.CommitAll();
  EXPECT_EQ(DecodeWorkersInUse(it.durable.workers_in_use).value.size(), 0U);
}

// Guards against the same where the worker answers no more: by a bound of 0 the next owner would
// not wait for it.
TEST_F(UndurableEndsTest, KeepTheLeaseOfASilentWorkerInItsBound) {
  ReportEnds();
  for (int n = 0; n < kHeartbeatsBeforeBound; ++n) it.TimeOut("w1");
  it.Advance(milliseconds(1500));
  const Commit first = NextCommit();
  ASSERT_TRUE(first.lease_bounds);
  EXPECT_GT(DecodeLeaseBounds(*first.lease_bounds).value.left_ms.at("w1"), 0);
}

}  // namespace
}  // namespace pomelopond::dispatch
