// Placements that reach the limit of start orders in flight.
#include <gtest/gtest.h>

#include <string>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;

// So many waiting jobs that the next placement begins only after a pause.
constexpr int kJobs = 400;
constexpr int kAnswered = 10;

std::string IdOf(int n) { return "000000000000" + std::to_string(1000 + n); }

class PlacementTest : public testing::Test {
 protected:
  PlacementTest() {
    it_.AddWorkers({MakeWorker("w1", 1000000), MakeWorker("w2", 1000000)});
    for (int n = 0; n < kJobs; ++n) {
      it_.dispatcher.AddJob(MakeJob(IdOf(n), {MakeStep(1)}), {}, false);
    }
    it_.Advance(milliseconds(50));
    it_.Decide();
    first_ = it_.orders.starts;
  }

  void Answer(int count) {
    for (int n = 0; n < count; ++n) {
      it_.dispatcher.OnStarted(first_[static_cast<size_t>(n)], it_.Accepted(), it_.now);
    }
  }

  Scenario it_;
  std::vector<StartOrder> first_;
};

// Guards against a start rate that is bounded by the pause between placements.
TEST_F(PlacementTest, AnsweredStartsAreFollowedByOthersAtOnce) {
  ASSERT_EQ(first_.size(), static_cast<size_t>(DispatchLimits{}.max_starts_in_flight));
  Answer(kAnswered);
  it_.Decide();
  EXPECT_EQ(it_.orders.starts.size(), static_cast<size_t>(kAnswered));
}

// Guards against a placement that goes on with the jobs as they were when it began.
TEST_F(PlacementTest, JobsCancelledMeanwhileAreNotStarted) {
  for (int n = 0; n < kJobs; ++n) it_.dispatcher.CancelJob(IdOf(n), it_.WallMs());
  Answer(kAnswered);
  it_.Decide();
  EXPECT_TRUE(it_.orders.starts.empty());
}

// Guards against a placement that goes on with a job that no longer exists.
TEST_F(PlacementTest, RemovedJobsAreNotStarted) {
  for (int n = 0; n < kJobs; ++n) it_.dispatcher.CancelJob(IdOf(n), it_.WallMs());
  Commit removal;
  for (int n = 0; n < kJobs; ++n) removal.removed_jobs.push_back(IdOf(n));
  it_.dispatcher.OnCommitted(removal);
  Answer(kAnswered);
  it_.Decide();
  EXPECT_TRUE(it_.orders.starts.empty());
}

}  // namespace
}  // namespace pomelopond::dispatch
