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

// Guards against a removal of jobs finished long ago that bounds the start rate.
TEST_F(PlacementTest, RemovalOfOtherJobsDoesNotEndThePlacement) {
  jobs::JobProgress finished;
  finished.state = jobs::JobState::kCompleted;
  it_.dispatcher.AddJob(MakeJob(IdOf(kJobs), {MakeStep(1)}), finished, false);
  Commit removal;
  removal.removed_jobs = {IdOf(kJobs)};
  it_.dispatcher.OnCommitted(removal);
  Answer(kAnswered);
  it_.Decide();
  EXPECT_EQ(it_.orders.starts.size(), static_cast<size_t>(kAnswered));
}

// Guards against a task that stops more runs each time its job's turn goes on.
TEST(PreemptingPlacementTest, TaskPreemptsOnceInAPlacement) {
  DispatchLimits limits;
  limits.max_starts_in_flight = 1;
  Scenario it(1, limits);
  it.AddWorkers({MakeWorker("w1", 4000), MakeWorker("w2", 1000)});
  jobs::Job victim = MakeJob(IdOf(0), {MakeStep(2, 2000)});
  victim.rules.priority = 2;
  it.dispatcher.AddJob(victim, {}, false);
  for (int n = 0; n < 2; ++n) {
    it.Advance(milliseconds(50));
    it.Decide();
    it.ConfirmStarts();
  }
  // The first step waits for room on w1; the tasks of the second one fit w2 one at a time.
  it.dispatcher.AddJob(MakeJob(IdOf(1), {MakeStep(1, 2000), MakeStep(3, 100)}), {}, false);
  it.Advance(milliseconds(50));
  it.Decide();
  EXPECT_EQ(it.orders.stops.size(), 1U);
  for (int n = 0; n < 2; ++n) {
    ASSERT_EQ(it.orders.starts.size(), 1U);
    it.ConfirmStarts();
    it.Decide();
    EXPECT_TRUE(it.orders.stops.empty());
  }
}

}  // namespace
}  // namespace pomelopond::dispatch
