// Jobs whose records the owner has deleted, and lists of the jobs that were read before.
#include <gtest/gtest.h>

#include <optional>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr int64_t kCreatedAt = 20;  // store revisions
constexpr int64_t kDeletedAt = 50;

// An owner that has just deleted the record of a finished job.
class RemovedJobTest : public ::testing::Test {
 protected:
  RemovedJobTest() {
    it.AddWorkers({MakeWorker("w1")});
    jobs::JobProgress completed;
    completed.state = jobs::JobState::kCompleted;
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), completed, true);
    it.Advance(std::chrono::seconds(1));
    const std::optional<Commit> commit = it.dispatcher.NextCommit(it.now, it.WallMs());
    EXPECT_TRUE(commit && commit->removed_jobs.size() == 1);
    if (commit) it.dispatcher.OnCommitted(*commit, kDeletedAt);
  }

  // The job arrives with a list of all jobs, and the owner decides.
  void ListJob(int64_t revision) {
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false, revision);
    it.dispatcher.OnProvenRevision(revision);
    it.Advance(std::chrono::milliseconds(100));
    it.Decide();
  }

  Scenario it;
};

// Guards against a second run of all tasks of a removed job: a list that the store answered before
// the deletion, and that arrives after it, still holds the job, now without progress.
TEST_F(RemovedJobTest, IsNotAddedAgainByAnEarlierList) {
  ListJob(kCreatedAt);
  EXPECT_TRUE(it.orders.starts.empty());
  it.dispatcher.OnJobsSeen(kDeletedAt - 1);
  ListJob(kCreatedAt);
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against the loss of a job that is created under the id of a removed one.
TEST_F(RemovedJobTest, IdMayComeAgain) {
  ListJob(kDeletedAt + 1);
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

// Guards against ids that are remembered for ever.
TEST_F(RemovedJobTest, IsForgottenOnceItsDeletionIsSeen) {
  it.dispatcher.OnJobsSeen(kDeletedAt);
  ListJob(kCreatedAt);
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

}  // namespace
}  // namespace pomelopond::dispatch
