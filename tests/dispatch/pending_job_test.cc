// When callers are told that a job is running.
#include <gtest/gtest.h>

#include "dispatch/dispatcher.h"
#include "dispatch/job_memory.h"
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
  EXPECT_EQ(it.dispatcher.CurrentWaitingCounts(it.WallMs()).by_queue.at("queue"), 1);
  EXPECT_EQ(it.dispatcher.Summary(it.now, it.WallMs()).unconfirmed_jobs, 1);
}

TEST_F(PendingJobTest, JobIsPendingAfterARefusedStart) {
  AnswerStart(OrderStatus::kNoCapacity);
  EXPECT_EQ(State(), jobs::JobState::kPending);
  EXPECT_EQ(it.dispatcher.Summary(it.now, it.WallMs()).unconfirmed_jobs, 0);
}

TEST_F(PendingJobTest, JobIsPendingAfterAStartWithoutAnAnswer) {
  AnswerStart(OrderStatus::kNoAnswer);
  EXPECT_EQ(State(), jobs::JobState::kPending);
}

TEST_F(PendingJobTest, ConfirmedStartMakesTheJobRunning) {
  AnswerStart(OrderStatus::kAccepted);
  EXPECT_EQ(State(), jobs::JobState::kRunning);
  EXPECT_TRUE(it.dispatcher.CurrentWaitingCounts(it.WallMs()).by_queue.empty());
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

class StoredCountsTest : public ::testing::Test {
 protected:
  // Returns the counts of the commits that are due.
  std::optional<WaitingCounts> Written() {
    std::optional<WaitingCounts> written;
    while (const std::optional<Commit> commit = it.dispatcher.NextCommit(it.now, it.WallMs())) {
      if (commit->waiting_counts) written = DecodeWaitingCounts(*commit->waiting_counts).value;
      it.dispatcher.OnCommitted(*commit);
    }
    return written;
  }

  Scenario it;
};

// Guards against a record whose age cannot be told, since it is written only when a count changes.
TEST_F(StoredCountsTest, UnchangedCountsAreRenewed) {
  it.dispatcher.OnJobsSeen(20);
  EXPECT_EQ(Written(), (WaitingCounts{20, {}, 0, {}}));
  it.Advance(std::chrono::seconds(1));
  it.dispatcher.OnJobsSeen(25);
  EXPECT_EQ(Written(), (WaitingCounts{25, {}, 0, {}}));
}

// Guards against an owner that claims to know jobs which its watch has not told it of.
TEST_F(StoredCountsTest, CountsNameTheRevisionOfTheLastJobsSeen) {
  it.dispatcher.OnJobsSeen(20);
  Written();
  it.Advance(std::chrono::seconds(1));
  const jobs::Job job = MakeJob(kJob, {MakeStep(1)});
  it.dispatcher.AddJob(job, {}, false, 30);
  const int64_t bytes = MaxMemoryBytes(job, DispatchLimits().max_value_bytes);
  EXPECT_EQ(Written(), (WaitingCounts{20, {{"queue", 1}}, bytes, {}}));
}

}  // namespace
}  // namespace pomelopond::dispatch
