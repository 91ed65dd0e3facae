// When callers are told that a job is running.
#include <gtest/gtest.h>

#include "dispatch/dispatcher.h"
#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";

class PendingJobTest : public ::testing::Test {
 protected:
  PendingJobTest() {
    it.AddWorkers({MakeWorker("w1")});
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
    it.Decide();
    start = it.orders.starts.at(0);
  }

  jobs::JobState State() const { return it.dispatcher.FindJob(kJob)->state; }
  void AnswerStart(OrderStatus status) {
    Answer answer = it.Accepted();
    answer.status = status;
    it.dispatcher.OnStarted(start, answer, it.now);
  }

  Scenario it;
  StartOrder start;
};

// Guards against a job that is shown as running, and not counted as waiting, because of a start
// that no worker has confirmed.
TEST_F(PendingJobTest, JobIsPendingWhileItsStartIsOnItsWay) {
  EXPECT_EQ(State(), jobs::JobState::kPending);
  EXPECT_EQ(it.dispatcher.WaitingCounts(it.WallMs()).at("queue"), 1);
  EXPECT_EQ(it.dispatcher.Summary(it.now).unconfirmed_jobs, 1);
}

TEST_F(PendingJobTest, JobIsPendingAfterARefusedStart) {
  AnswerStart(OrderStatus::kNoCapacity);
  EXPECT_EQ(State(), jobs::JobState::kPending);
  EXPECT_EQ(it.dispatcher.Summary(it.now).unconfirmed_jobs, 0);
}

TEST_F(PendingJobTest, JobIsPendingAfterAStartWithoutAnAnswer) {
  AnswerStart(OrderStatus::kNoAnswer);
  EXPECT_EQ(State(), jobs::JobState::kPending);
}

TEST_F(PendingJobTest, ConfirmedStartMakesTheJobRunning) {
  AnswerStart(OrderStatus::kAccepted);
  EXPECT_EQ(State(), jobs::JobState::kRunning);
  EXPECT_TRUE(it.dispatcher.WaitingCounts(it.WallMs()).empty());
}

// Guards against a job that stays pending because the answer to its start was lost.
TEST_F(PendingJobTest, ReportedRunMakesTheJobRunning) {
  AnswerStart(OrderStatus::kNoAnswer);
  it.Report("w1", {{start.run, "", 10, 0}}, {});
  EXPECT_EQ(State(), jobs::JobState::kRunning);
}

TEST_F(PendingJobTest, ReportedEndMakesTheJobRunning) {
  AnswerStart(OrderStatus::kNoAnswer);
  it.Report("w1", {}, {End(1, start.run, EndKind::kFailed)});
  EXPECT_EQ(State(), jobs::JobState::kRunning);
}

}  // namespace
}  // namespace pomelopond::dispatch
