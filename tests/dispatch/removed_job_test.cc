// Jobs whose records the owner has deleted, and lists of the jobs that were read before.
#include <gtest/gtest.h>

#include <optional>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr int64_t kDeletedAt = 50;  // store revision

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
  void ListJob() {
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
    it.Advance(std::chrono::milliseconds(100));
    it.Decide();
  }

  Scenario it;
};

// Guards against a second run of all tasks of a removed job: a list that the store answered before
// the deletion, and that arrives after it, still holds the job, now without progress.
TEST_F(RemovedJobTest, IsNotAddedAgainByAnEarlierList) {
  ListJob();
  EXPECT_TRUE(it.orders.starts.empty());
  it.dispatcher.OnJobsSeen(kDeletedAt - 1);
  ListJob();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against ids that are refused, and remembered, for ever.
TEST_F(RemovedJobTest, IdMayComeAgainOnceTheDeletionIsSeen) {
  it.dispatcher.OnJobsSeen(kDeletedAt);
  ListJob();
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

}  // namespace
}  // namespace pomelopond::dispatch
