// Jobs with many tasks or occurrences: the size of their stored progress, and what of them is open.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <set>

#include "jobs/job_size.h"
#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "large";
constexpr int64_t kMinuteMs = 60000;

// Runs a job on large workers, whose tasks end in any order, and looks at each commit.
class LargeJobTest : public ::testing::Test {
 protected:
  LargeJobTest() { it_.AddWorkers({MakeWorker("w1", 400000), MakeWorker("w2", 400000)}); }

  // A schedule all of whose `times` are due.
  static jobs::Job Overdue(int replicas, int times) {
    jobs::Job job = MakeJob(kJob, {MakeStep(replicas, 10)});
    job.steps[0].request.memory_mb = 1;
    job.occurrences = times;
    job.interval_ms = kMinuteMs;
    job.first_ms = kWallStart - times * kMinuteMs;
    return job;
  }

  // Places tasks, ends all runs of a worker in `how`, and commits. Returns the number of ends.
  int Round(const std::function<EndKind(const RunId&)>& how) {
    it_.Advance(std::chrono::milliseconds(100));
    it_.Decide();
    it_.ConfirmStarts();
    int ends = 0;
    for (const auto& [id, worker] : it_.dispatcher.workers()) {
      std::vector<EndedRun> ended;
      for (const auto& [run, state] : worker.runs) {
        ended.push_back({++sequence_[id], run, how(run), checkpoint_});
        ends += 1;
      }
      it_.Report(id, {}, ended);
    }
    while (const auto commit = it_.dispatcher.NextCommit(it_.now, it_.WallMs())) {
      for (const auto& [job, bytes] : commit->progress) {
        largest_ = std::max(largest_, bytes.size());
        stored_[job] = bytes;
      }
      it_.dispatcher.OnCommitted(*commit);
    }
    return ends;
  }

  jobs::JobState State() { return it_.dispatcher.FindJob(kJob)->state; }

  Scenario it_;
  std::map<std::string, int64_t> sequence_;
  std::map<std::string, std::string> stored_;
  std::string checkpoint_;
  size_t largest_ = 0;
};

EndKind Done(const RunId&) { return EndKind::kDone; }

// Guards against a record that grows with each task that is done until the store rejects it, after
// which no change of any job becomes durable (review/7).
TEST_F(LargeJobTest, ProgressOfAnOverdueScheduleStaysSmall) {
  it_.dispatcher.AddJob(Overdue(250, 60), {}, false);
  int64_t done = 0;
  for (int n = 0; n < 2000 && State() != jobs::JobState::kCompleted; ++n) done += Round(Done);
  EXPECT_EQ(State(), jobs::JobState::kCompleted);
  EXPECT_EQ(done, 250 * 60);
  EXPECT_LT(largest_, 1000U);
}

// Guards against the same for one occurrence of many tasks that end in any order.
TEST_F(LargeJobTest, DoneTasksTakeABitEach) {
  std::mt19937_64 random(7);
  jobs::Job job = MakeJob(kJob, {MakeStep(20000, 10)});
  job.steps[0].request.memory_mb = 1;
  job.rules.max_attempts = 1000;
  it_.dispatcher.AddJob(job, {}, false);
  for (int n = 0; n < 100; ++n) Round([](const RunId&) { return EndKind::kStopped; });
  for (int n = 0; n < 3000 && State() != jobs::JobState::kCompleted; ++n) {
    Round(
        [&random](const RunId&) { return random() % 3 == 0 ? EndKind::kStopped : EndKind::kDone; });
  }
  EXPECT_EQ(State(), jobs::JobState::kCompleted);
  EXPECT_LT(largest_, 20000U / 8 + 200);
}

// Guards against failed runs and checkpoints of many tasks that together outgrow the store.
TEST_F(LargeJobTest, TasksThatLeaveSomethingAreBounded) {
  for (const int64_t most : {2000, 5000, 20000}) {
    DispatchLimits limits;
    limits.max_value_bytes = most;
    it_.dispatcher.SetLimits(limits);
    jobs::Job job =
        MakeJob(kJob + std::to_string(most), {MakeStep(static_cast<int>(most / 50), 10)});
    job.steps[0].request.memory_mb = 1;
    job.steps[0].checkpoint = true;
    job.rules.max_attempts = 4;
    ASSERT_EQ(jobs::StorageError(job, most), "");
    it_.dispatcher.AddJob(job, {}, false);
    checkpoint_.assign(jobs::kMaxCheckpointBytes, 'c');
    largest_ = 0;
    std::map<jobs::TaskId, int> failures;
    for (int n = 0; n < 3000 && it_.dispatcher.FindJob(job.id)->state != jobs::JobState::kCompleted;
         ++n) {
      Round([&failures](const RunId& id) {
        return ++failures[id.task] < 4 ? EndKind::kFailed : EndKind::kDone;
      });
    }
    EXPECT_EQ(it_.dispatcher.FindJob(job.id)->state, jobs::JobState::kCompleted) << most;
    EXPECT_LE(static_cast<int64_t>(largest_), most);
    EXPECT_GT(static_cast<int64_t>(largest_), most / 4);
  }
}

// Guards against an owner that holds what is due in a month, and against one that starts what is
// due later than the occurrences before it.
TEST_F(LargeJobTest, OccurrencesBeginWhenTheyAreDue) {
  jobs::Job job = Overdue(4, 43200);
  job.first_ms = kWallStart - kMinuteMs;
  it_.dispatcher.AddJob(job, {}, false);
  EXPECT_EQ(Round(Done), 8);
  EXPECT_EQ(it_.dispatcher.FindJob(kJob)->open.size(), 0U);
  EXPECT_EQ(it_.dispatcher.FindJob(kJob)->begun, 2);
  EXPECT_EQ(State(), jobs::JobState::kRunning);
}

// Guards against ends and runs of an earlier owner that the next one forgets: it has not begun the
// occurrence yet, so it would start the task again.
TEST_F(LargeJobTest, OccurrenceThatAnEarlierOwnerHasBegunIsKnown) {
  jobs::Job job = Overdue(1, 3);
  job.first_ms = kWallStart - 1;  // the first one is due
  Scenario next(2);
  next.AddWorkers({MakeWorker("w1")});
  next.dispatcher.AddJob(job, {}, true);
  // By the clock of the earlier owner the second one was due as well.
  next.Report("w1", {},
              {{1, {{kJob, 0, 0, 0}, 1}, EndKind::kDone, ""},
               {2, {{kJob, 1, 0, 0}, 1}, EndKind::kDone, ""}});
  next.CommitAll();
  next.Advance(std::chrono::milliseconds(100));
  next.Decide();
  EXPECT_TRUE(next.orders.starts.empty());
  EXPECT_EQ(next.dispatcher.FindJob(kJob)->begun, 2);
}

// Guards against done tasks that run again after a change of the owner.
TEST_F(LargeJobTest, NextOwnerKnowsWhatIsDone) {
  it_.dispatcher.AddJob(Overdue(500, 8), {}, false);
  std::mt19937_64 random(3);
  std::set<jobs::TaskId> done;
  for (int n = 0; n < 25; ++n) {
    Round([&](const RunId& id) {
      const bool ends = random() % 4 != 0;
      if (ends) done.insert(id.task);
      return ends ? EndKind::kDone : EndKind::kStopped;
    });
  }
  Scenario next(2);
  next.AddWorkers({MakeWorker("w1", 400000)});
  next.dispatcher.AddJob(Overdue(500, 8), jobs::DecodeProgress(stored_[kJob]).value, true);
  std::set<jobs::TaskId> started;
  for (int n = 0; n < 300; ++n) {
    next.Advance(std::chrono::milliseconds(100));
    next.Decide();
    next.ConfirmStarts();
    std::vector<EndedRun> ended;
    for (const auto& [run, state] : next.dispatcher.workers().at("w1").runs) {
      EXPECT_EQ(done.count(run.task), 0U);
      EXPECT_TRUE(started.insert(run.task).second);
      ended.push_back({++sequence_["next"], run, EndKind::kDone, ""});
    }
    next.Report("w1", {}, ended);
    next.CommitAll();
  }
  EXPECT_EQ(started.size() + done.size(), 4000U);
}

// Guards against a job of an earlier version that never starts, since its record might be too
// large.
TEST_F(LargeJobTest, JobThatWasAcceptedWithoutALimitGoesOn) {
  jobs::Job job = MakeJob(kJob, {MakeStep(3, 10)});
  job.rules.max_attempts = 200000;
  ASSERT_NE(jobs::StorageError(job, DispatchLimits().max_value_bytes), "");
  it_.dispatcher.AddJob(job, {}, false);
  for (int n = 0; n < 20 && State() != jobs::JobState::kCompleted; ++n) Round(Done);
  EXPECT_EQ(State(), jobs::JobState::kCompleted);
}

// Guards against a host that accepts what the store cannot hold, and against one that refuses what
// it can.
TEST(JobSizeTest, JobsAreWeighedByTheStoresLimit) {
  jobs::Job job = MakeJob(kJob, {MakeStep(10000)});
  EXPECT_EQ(jobs::StorageError(job, 1048576), "");
  EXPECT_EQ(jobs::StorageError(job, 2000), "");
  EXPECT_NE(jobs::StorageError(job, 1300), "");
  job.spec.assign(4000, 's');
  EXPECT_NE(jobs::StorageError(job, 4000), "");
  job.rules.max_attempts = 200000;
  EXPECT_NE(jobs::StorageError(job, 1048576), "");
}

}  // namespace
}  // namespace pomelopond::dispatch
