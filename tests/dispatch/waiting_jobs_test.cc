#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr Duration kBetweenStarts = std::chrono::seconds(1);

// Returns the jobs in the order in which their single tasks start, one after the other, on a worker
// that has room for one.
std::vector<std::string> OrderOfStarts(Scenario* it) {
  std::vector<std::string> jobs;
  int64_t ended = 0;
  for (;;) {
    it->Advance(kBetweenStarts);
    it->Decide();
    if (it->orders.starts.empty()) return jobs;
    jobs.push_back(it->orders.starts.at(0).run.task.job);
    it->ConfirmStarts();
    it->Report("w1", {}, {End(++ended, it->orders.starts.at(0).run, EndKind::kDone)});
    it->CommitAll();
  }
}

// Guards against a list of waiting jobs that loses its order, or keeps a job that waits no more,
// when jobs come and go.
TEST(WaitingJobsTest, TurnsOfEqualRankFollowTheIdsWhileJobsComeAndGo) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1", 1000)});
  for (const char* id : {"d", "b", "e", "c", "f"}) {
    it.dispatcher.AddJob(MakeJob(id, {MakeStep(1)}), {}, false);
  }
  it.dispatcher.CancelJob("c", it.WallMs());
  it.dispatcher.CancelJob("c", it.WallMs());
  it.dispatcher.AddJob(MakeJob("a", {MakeStep(1)}), {}, false);
  it.dispatcher.CancelJob("f", it.WallMs());
  EXPECT_EQ(OrderOfStarts(&it), (std::vector<std::string>{"a", "b", "d", "e"}));
}

// Guards against a job that is left out of the list for good once all its tasks have runs.
TEST(WaitingJobsTest, JobWaitsAgainAfterItsOnlyRunFails) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1", 1000)});
  it.dispatcher.AddJob(MakeJob("a", {MakeStep(1)}), {}, false);
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  it.ConfirmStarts();
  it.Report("w1", {}, {End(1, it.orders.starts.at(0).run, EndKind::kFailed)});
  it.Advance(std::chrono::minutes(1));
  it.Report("w1", {}, {});
  it.Decide();
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

}  // namespace
}  // namespace pomelopond::dispatch
