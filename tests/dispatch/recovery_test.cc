// Behaviour of the dispatcher after lost answers, lost workers and a change of the owner.
#include <gtest/gtest.h>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";
// Run numbers of the second epoch are above this value.
constexpr int64_t kSecondEpoch = 100000;

RunId RunOf(int step, int index, int64_t run) { return {{kJob, 0, step, index}, run}; }

// An owner of epoch 2 that inherits worker w1 and a job from the owner of epoch 1.
class TakeoverTest : public ::testing::Test {
 protected:
  TakeoverTest() : it(2) {
    it.dispatcher.InheritWorker({"w1", "pool", MakeWorker("w1").endpoint}, {}, it.now);
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, true);
    it.dispatcher.UpdateWorker(MakeWorker("w1"), it.now);
    it.dispatcher.UpdateWorker(MakeWorker("w2"), it.now);
    it.CommitAll();
    it.Decide();
    it.Report("w2", {}, {});
  }

  Scenario it;
};

// Guards against a task that is started again while a run by an earlier owner continues on a worker
// that has not reported yet.
TEST_F(TakeoverTest, InheritedTasksWaitForAllInheritedWorkers) {
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.Report("w1", {{RunOf(0, 0, 1), "", 30, 0}}, {});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  EXPECT_TRUE(it.orders.stops.empty());
  EXPECT_EQ(it.dispatcher.workers().at("w1").runs.count(RunOf(0, 0, 1)), 1U);
}

// Guards against a job that is reported as pending while its adopted runs continue.
TEST_F(TakeoverTest, JobOfAnAdoptedRunIsWrittenAsRunning) {
  it.Report("w1", {{RunOf(0, 0, 1), "", 30, 0}}, {});
  const std::optional<Commit> commit = it.dispatcher.NextCommit(it.now, it.WallMs());
  ASSERT_TRUE(commit.has_value());
  ASSERT_EQ(commit->progress.size(), 1U);
  EXPECT_EQ(jobs::DecodeProgress(commit->progress[0].second).value.state, jobs::JobState::kRunning);
}

TEST_F(TakeoverTest, NewJobsDoNotWaitForInheritedWorkers) {
  it.dispatcher.AddJob(MakeJob("00000000000000bb", {MakeStep(1)}), {}, false);
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, "w2");
}

// Guards against waiting for a dead worker forever, and against waiting for less time than its last
// lease may last on a clock that runs 2% slow.
TEST_F(TakeoverTest, UnreachableWorkerCountsAsEmptyAfterTheLastPossibleLease) {
  const auto horizon = DispatchLimits{}.lease_horizon;
  it.Advance(std::chrono::duration_cast<Duration>(horizon * 1.02));
  it.Report("w2", {}, {});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.Advance(std::chrono::seconds(1));
  it.Report("w2", {}, {});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].run, RunOf(0, 0, kSecondEpoch + 1));
}

// Guards against a failure that is counted twice: the earlier owner made it durable, but the worker
// reports the end again because it was not acknowledged.
TEST(RecoveryTest, FailureListedAgainCountsOnce) {
  Scenario it(2);
  jobs::JobProgress progress;
  progress.state = jobs::JobState::kRunning;
  progress.tasks[{0, 0, 0}].failed_runs = {1, 2};
  it.AddWorkers({MakeWorker("w1")});
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), progress, true);
  it.Report("w1", {}, {End(1, RunOf(0, 0, 2), EndKind::kFailed)});
  EXPECT_EQ(it.dispatcher.FindJob(kJob)->state, jobs::JobState::kRunning);
  it.Report("w1", {}, {End(2, RunOf(0, 0, 3), EndKind::kFailed)});
  EXPECT_EQ(it.dispatcher.FindJob(kJob)->state, jobs::JobState::kFailed);
}

class LostCallTest : public ::testing::Test {
 protected:
  LostCallTest() {
    it.AddWorkers({MakeWorker("w1"), MakeWorker("w2")});
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
    it.Decide();
    start = it.orders.starts.at(0);
  }

  Scenario it;
  StartOrder start;
};

// Guards against a second run on another worker while the first order may still take effect.
TEST_F(LostCallTest, StartWithoutAnswerIsSentAgainToTheSameWorker) {
  it.dispatcher.OnStarted(start, {OrderStatus::kNoAnswer, 0, 0}, it.now);
  it.Advance(std::chrono::milliseconds(300));
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, start.to.worker);
  EXPECT_EQ(it.orders.starts[0].run, start.run);
}

// Guards against a delayed first start order that takes effect after its repetition was refused.
TEST_F(LostCallTest, RefusalAfterALostAnswerIsFollowedByAStop) {
  it.dispatcher.OnStarted(start, {OrderStatus::kNoAnswer, 0, 0}, it.now);
  it.Advance(std::chrono::milliseconds(300));
  it.Decide();
  it.dispatcher.OnStarted(start, {OrderStatus::kNoCapacity, it.ClockMs(), 1}, it.now);
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  ASSERT_EQ(it.orders.stops.size(), 1U);
  it.dispatcher.OnStopped(it.orders.stops[0], it.Accepted(), it.now);
  it.Advance(std::chrono::milliseconds(10));
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
}

TEST_F(LostCallTest, RefusedTaskGoesToAnotherWorkerAtOnce) {
  it.dispatcher.OnStarted(start, {OrderStatus::kNoCapacity, it.ClockMs(), 1}, it.now);
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_NE(it.orders.starts[0].to.worker, start.to.worker);
  EXPECT_EQ(it.orders.starts[0].run, RunOf(0, 0, 2));
}

// Guards against a task that runs on two workers: an unresponsive worker may run it until its lease
// expires there.
TEST_F(LostCallTest, TaskOfASilentWorkerMovesOnlyAfterItsLease) {
  it.ConfirmStarts();
  it.dispatcher.OnReport({start.to, 1, 0, 0, {}}, {{OrderStatus::kNoAnswer, 0, 0}, {}, {}}, it.now,
                         it.WallMs());
  it.Advance(std::chrono::milliseconds(4900));
  const std::string other = start.to.worker == "w1" ? "w2" : "w1";
  it.Report(other, {}, {});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.Advance(std::chrono::milliseconds(400));
  it.Report(other, {}, {});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, other);
}

// Guards against a task that runs twice: this owner was replaced without noticing, and the next
// owner extends the lease of the worker that this one cannot reach.
TEST_F(LostCallTest, LeaseEndsOnlyForAnOwnerThatHasProvedItsOwnershipSince) {
  it.ConfirmStarts();
  it.TimeOut(start.to.worker);
  const std::string other = start.to.worker == "w1" ? "w2" : "w1";
  it.now += std::chrono::milliseconds(5500);
  it.Report(other, {}, {});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  EXPECT_TRUE(it.dispatcher.AwaitsOwnershipProof(it.now));
  it.dispatcher.OnOwnershipProof(it.now);
  EXPECT_FALSE(it.dispatcher.AwaitsOwnershipProof(it.now));
  it.Decide();
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

// Guards against heartbeats without a pause, and an entry that is never dropped, for a worker that
// has left and whose address another one has taken.
TEST_F(LostCallTest, WorkerWhoseAddressIsTakenIsForgotten) {
  it.ConfirmStarts();
  const std::string id = start.to.worker;
  const HeartbeatOrder order{start.to, 1, 0, 0, {}};
  it.dispatcher.DeregisterWorker(id, it.now);
  it.TimeOut(id);
  int heartbeats = 0;
  for (int n = 0; n < 100 && it.dispatcher.workers().count(id) > 0; ++n) {
    // The call that proves the ownership was sent before the last answers arrived.
    it.dispatcher.OnOwnershipProof(it.now - std::chrono::milliseconds(15));
    it.now += std::chrono::milliseconds(10);
    it.Decide();
    for (const HeartbeatOrder& sent : it.orders.heartbeats) {
      if (sent.to.worker != id) continue;
      heartbeats += 1;
      it.dispatcher.OnReport(order, {{OrderStatus::kWrongIncarnation, 0, 0}, {}, {}}, it.now,
                             it.WallMs());
    }
  }
  EXPECT_EQ(it.dispatcher.workers().count(id), 0U);
  EXPECT_LE(heartbeats, 2);
}

// Guards against waiting for the lease of a worker that is known to have restarted.
TEST_F(LostCallTest, RestartedWorkerRunsNothing) {
  it.ConfirmStarts();
  WorkerInfo restarted = it.dispatcher.workers().at(start.to.worker).info;
  restarted.incarnation += 1;
  it.dispatcher.UpdateWorker(restarted, it.now);
  it.Decide();
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

// Guards against an owner that continues to send orders when another owner may have taken over.
TEST_F(LostCallTest, NothingIsStartedWithoutProofOfOwnership) {
  it.dispatcher.AddJob(MakeJob("00000000000000bb", {MakeStep(1)}), {}, false);
  it.now += DispatchLimits{}.lease_horizon;
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
}

TEST_F(LostCallTest, CancelledJobIsStoppedAndNotStartedAgain) {
  it.ConfirmStarts();
  it.dispatcher.CancelJob(kJob, it.WallMs());
  it.Decide();
  ASSERT_EQ(it.orders.stops.size(), 1U);
  it.dispatcher.OnStopped(it.orders.stops[0], it.Accepted(), it.now);
  it.Report(start.to.worker, {}, {End(1, start.run, EndKind::kStopped)});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  EXPECT_EQ(it.dispatcher.FindJob(kJob)->state, jobs::JobState::kCancelled);
}

TEST_F(LostCallTest, WorkerThatFollowsALaterOwnerEndsTheOwnership) {
  it.dispatcher.OnStarted(start, {OrderStatus::kStaleEpoch, it.ClockMs(), 1}, it.now);
  EXPECT_TRUE(it.dispatcher.superseded());
}

// Three consecutive runs fail on the only worker with free capacity.
class DoubtfulWorkerTest : public ::testing::Test {
 protected:
  void Fail(bool perpetual) {
    it.AddWorkers({MakeWorker("w1")});
    jobs::Step step = MakeStep(1);
    step.perpetual = perpetual;
    jobs::Job job = MakeJob(kJob, {step});
    job.rules.max_attempts = 10;
    it.dispatcher.AddJob(job, {}, false);
    for (int64_t n = 1; n <= 3; ++n) {
      it.Advance(std::chrono::milliseconds(1500));
      it.Decide();
      it.ConfirmStarts();
      it.Report("w1", {}, {End(n, RunOf(0, 0, n), EndKind::kFailed)});
      it.CommitAll();
    }
    it.Advance(std::chrono::milliseconds(1500));
    it.Decide();
  }

  Scenario it;
};

// Guards against a perpetual task that is not started although a worker has free capacity for it.
TEST_F(DoubtfulWorkerTest, PerpetualTaskIsTriedThereForWantOfAnother) {
  Fail(true);
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

// Guards against attempts that are consumed on a worker where every run fails.
TEST_F(DoubtfulWorkerTest, OtherTasksWait) {
  Fail(false);
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against more calls in flight than a small host can answer in time: all of them would time
// out and be sent again.
TEST(BurstTest, StartsWaitForTheAnswersOfEarlierOnes) {
  DispatchLimits limits;
  limits.max_starts_in_flight = 10;
  Scenario it(1, limits);
  it.AddWorkers({MakeWorker("w1")});
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(25, 10)}), {}, false);
  std::vector<size_t> rounds;
  for (int n = 0; n < 4; ++n) {
    it.Decide();
    rounds.push_back(it.orders.starts.size());
    it.ConfirmStarts();
  }
  EXPECT_EQ(rounds, (std::vector<size_t>{10, 10, 5, 0}));
}

// Guards against tasks that move from a draining worker only after it is gone.
TEST(DrainingTest, PerpetualTasksMoveAndNothingNewStarts) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  jobs::Step step = MakeStep(1);
  step.perpetual = true;
  it.dispatcher.AddJob(MakeJob(kJob, {step}), {}, false);
  it.Decide();
  it.ConfirmStarts();
  WorkerInfo draining = MakeWorker("w1");
  draining.draining = true;
  it.dispatcher.UpdateWorker(draining, it.now);
  it.Decide();
  ASSERT_EQ(it.orders.stops.size(), 1U);
  it.dispatcher.OnStopped(it.orders.stops[0], it.Accepted(), it.now);
  it.AddWorkers({MakeWorker("w2")});
  it.Report("w1", {}, {End(1, RunOf(0, 0, 1), EndKind::kStopped)});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, "w2");
}

// Guards against members of a gang that wait for others that cannot be placed.
TEST(GangTest, StartsWholeOrNotAtAllWithOneRunNumber) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  jobs::Step step = MakeStep(5, 4000);
  step.gang = true;
  it.dispatcher.AddJob(MakeJob(kJob, {step}), {}, false);
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.AddWorkers({MakeWorker("w2")});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 5U);
  for (const RunId& run : it.Started()) EXPECT_EQ(run.run, 1);
}

// Guards against an ended gang run that counts as done for one member only.
TEST(GangTest, OneEndStandsForAllMembers) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  jobs::Step step = MakeStep(2);
  step.gang = true;
  it.dispatcher.AddJob(MakeJob(kJob, {step}), {}, false);
  it.Decide();
  it.ConfirmStarts();
  it.Report("w1", {}, {End(1, RunOf(0, 0, 1), EndKind::kDone)});
  EXPECT_EQ(it.dispatcher.FindJob(kJob)->state, jobs::JobState::kCompleted);
}

// Guards against tasks that both this owner and a later one start: a job that is newer than the
// last proof of ownership may have been accepted after the later owner took over.
TEST(RecoveryTest, JobNewerThanTheProofOfOwnershipWaits) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  it.dispatcher.OnProvenRevision(20);
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false, 25);
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  EXPECT_EQ(it.dispatcher.UnprovenRevision(), 25);
  it.dispatcher.OnProvenRevision(24);
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.dispatcher.OnProvenRevision(25);
  EXPECT_EQ(it.dispatcher.UnprovenRevision(), 0);
  it.Decide();
  EXPECT_EQ(it.orders.starts.size(), 1u);
}

}  // namespace
}  // namespace pomelopond::dispatch
