// Workers that start again under the id that they had, while orders to them are in flight.
#include <gtest/gtest.h>

#include <string>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr const char* kJob = "00000000000000aa";

// Worker w1 gets the order to start the only task and restarts before it answers. Worker w2 is
// smaller, so it is not chosen first, but has room.
class RestartTest : public ::testing::Test {
 protected:
  RestartTest() {
    it.AddWorkers({MakeWorker("w1"), MakeWorker("w2", 4000)});
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
    Step();
    start = it.orders.starts.at(0);
    restarted = MakeWorker("w1");
    restarted.incarnation = 2;
  }

  void Step() {
    it.Advance(milliseconds(100));
    it.Decide();
  }
  Answer AnswerOfNext(OrderStatus status) const { return {status, 100, 2}; }
  void ReportOfNext(std::vector<ActiveRun> active, std::vector<EndedRun> ended) {
    const HeartbeatOrder order{start.to, 1, 0, 0, {}};
    it.dispatcher.OnReport(
        order, {AnswerOfNext(OrderStatus::kAccepted), std::move(active), std::move(ended)}, it.now,
        it.WallMs());
  }

  Scenario it;
  StartOrder start;
  WorkerInfo restarted;
};

// Guards against a task that runs twice: the restarted worker has carried out the order, which was
// sent before the restart (seed 50 of RandomFleetTest).
TEST_F(RestartTest, StartThatTheRestartedWorkerAcceptedIsNotRepeatedElsewhere) {
  it.dispatcher.OnStarted(start, AnswerOfNext(OrderStatus::kAccepted), it.now);
  Step();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against the same when the registry tells of the restart first.
TEST_F(RestartTest, StartInFlightToARestartedWorkerIsNotRepeatedElsewhere) {
  it.dispatcher.UpdateWorker(restarted, it.now);
  Step();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against the same when the order got no answer: it may be carried out later.
TEST_F(RestartTest, StartWithUnknownOutcomeIsNotRepeatedElsewhere) {
  it.dispatcher.OnStarted(start, {OrderStatus::kNoAnswer, 0, 0}, it.now);
  it.dispatcher.UpdateWorker(restarted, it.now);
  Step();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against a task that waits for a lease although the restarted worker has confirmed that it
// does not run it.
TEST_F(RestartTest, TaskStartsOnceTheRestartedWorkerHasStoppedIt) {
  it.dispatcher.UpdateWorker(restarted, it.now);
  it.dispatcher.OnStarted(start, AnswerOfNext(OrderStatus::kAccepted), it.now);
  ReportOfNext({{start.run, "", 0, 0}}, {});
  Step();
  ASSERT_EQ(it.orders.stops.size(), 1U);
  it.dispatcher.OnStopped(it.orders.stops[0], AnswerOfNext(OrderStatus::kAccepted), it.now);
  EXPECT_TRUE(it.orders.starts.empty());
  ReportOfNext({}, {End(1, start.run, EndKind::kStopped)});
  Step();
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

// Guards against a task that never starts because the restarted worker does not answer any more.
TEST_F(RestartTest, TaskStartsOnceNoLeaseOfTheRestartedWorkerCanLast) {
  it.dispatcher.UpdateWorker(restarted, it.now);
  it.dispatcher.OnStarted(start, {OrderStatus::kNoAnswer, 0, 0}, it.now);
  it.dispatcher.DeregisterWorker("w1", it.now);
  it.TimeOut("w1");
  it.Advance(milliseconds(8600));
  it.Report("w2", {}, {});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, "w2");
}

// Guards against starts on a worker by the capacity and the labels that it had before a restart: it
// may be of another kind since (seeds 53 and 145 of RandomFleetTest).
TEST_F(RestartTest, RestartedWorkerGetsNoTaskBeforeItIsRegisteredAgain) {
  it.dispatcher.OnStarted(start, AnswerOfNext(OrderStatus::kUnhealthy), it.now);
  ReportOfNext({}, {});
  jobs::Step large = MakeStep(1, 8000);
  it.dispatcher.AddJob(MakeJob("00000000000000bb", {large}), {}, false);
  it.Advance(milliseconds(500));
  it.Decide();
  for (const StartOrder& order : it.orders.starts) EXPECT_NE(order.to.worker, "w1");
  it.dispatcher.UpdateWorker(restarted, it.now);
  Step();
  ASSERT_FALSE(it.orders.starts.empty());
  EXPECT_EQ(it.orders.starts[0].to.worker, "w1");
}

// Worker w1 has accepted the order to start the only task. Its answer doesn't name its incarnation.
class ConfirmedStartTest : public RestartTest {
 protected:
  ConfirmedStartTest() {
    it.dispatcher.OnStarted(start, {OrderStatus::kAccepted, 100, 0}, it.now);
    it.Advance(milliseconds(10));
  }

  // The next heartbeat tells of the restart, and the one after it lists the runs.
  void ReportsOfNext(std::vector<ActiveRun> active, std::vector<EndedRun> ended) {
    ReportOfNext(active, ended);
    Step();
    EXPECT_TRUE(it.orders.starts.empty());
    ReportOfNext(std::move(active), std::move(ended));
    Step();
  }
};

// Guards against a task that runs twice: the start was carried out by the incarnation that the next
// report tells of (review case 3).
TEST_F(ConfirmedStartTest, RunOfTheNewIncarnationGoesOn) {
  ReportsOfNext({{start.run, "", 0, 0}}, {});
  EXPECT_TRUE(it.orders.starts.empty());
  EXPECT_TRUE(it.orders.stops.empty());
  EXPECT_EQ(it.dispatcher.workers().at("w1").runs.at(start.run).phase, RunPhase::kRunning);
}

// Guards against a task that runs again after its end in the new incarnation.
TEST_F(ConfirmedStartTest, EndInTheNewIncarnationCounts) {
  ReportsOfNext({}, {End(1, start.run, EndKind::kDone)});
  EXPECT_TRUE(it.orders.starts.empty());
  EXPECT_EQ(it.dispatcher.FindJob(kJob)->state, jobs::JobState::kCompleted);
}

// Guards against a task that waits for a run that the earlier incarnation took along.
TEST_F(ConfirmedStartTest, RunOfTheEarlierIncarnationIsStartedAgain) {
  ReportsOfNext({}, {});
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

// Guards against a task that waits although an earlier report shows that its run is lost.
TEST_F(ConfirmedStartTest, RunThatTheEarlierIncarnationReportedIsLost) {
  it.Report("w1", {{start.run, "", 0, 0}}, {});
  ReportOfNext({}, {});
  Step();
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

// Guards against a second run while the new incarnation, which no call reaches, may hold the lease
// that the order gave it.
TEST_F(ConfirmedStartTest, LeaseOfTheNewIncarnationIsWaitedFor) {
  DispatchLimits limits;
  limits.max_lease = std::chrono::seconds(10);
  it.dispatcher.SetLimits(limits);
  it.dispatcher.UpdateWorker(restarted, it.now);
  const TimePoint heard = it.now;
  it.TimeOut("w1");
  while (it.now < heard + milliseconds(11000)) {
    it.Report("w2", {}, {});
    Step();
    if (it.orders.starts.empty()) continue;
    EXPECT_GE(it.now, heard + milliseconds(10204));
    return;
  }
  FAIL() << "the task has not started on w2";
}

// Guards against ends that nobody has seen: a worker that may have started again is told to delete
// ended runs up to a position that the earlier incarnation reached, and their tasks run again.
TEST_F(ConfirmedStartTest, NothingIsAcknowledgedToAWorkerThatMayHaveRestarted) {
  const auto acknowledged = [this] {
    it.CommitAll();
    Step();
    for (const HeartbeatOrder& order : it.orders.heartbeats) {
      if (order.to.worker == "w1") return order.acknowledged;
    }
    return int64_t{-1};
  };
  it.Report("w1", {}, {End(7, start.run, EndKind::kDone)});
  EXPECT_EQ(acknowledged(), 7);
  it.TimeOut("w1");
  it.Advance(milliseconds(300));
  EXPECT_EQ(acknowledged(), 0);
  it.Report("w1", {}, {});
  EXPECT_EQ(acknowledged(), 7);
}

// Worker w1 starts again at another address.
class MovedWorkerTest : public ::testing::Test {
 protected:
  MovedWorkerTest() : moved(MakeWorker("w1")) {
    it.AddWorkers({MakeWorker("w1")});
    moved.endpoint.port += 1;
    moved.incarnation = 2;
  }

  // The worker answers at its new address.
  void Report() {
    const HeartbeatOrder order{{"w1", moved.endpoint}, 1, 0, 0, {}};
    it.dispatcher.OnReport(order, {{OrderStatus::kAccepted, 100, 2}, {}, {}}, it.now, it.WallMs());
  }
  size_t Starts() {
    it.Advance(milliseconds(100));
    it.Decide();
    return it.orders.starts.size();
  }

  Scenario it;
  WorkerInfo moved;
};

// Guards against a run that the next owner does not learn of: it would call the worker at the old
// address (seed 112 of RandomFleetTest).
TEST_F(MovedWorkerTest, GetsNoTaskBeforeItsNewAddressIsDurable) {
  it.dispatcher.UpdateWorker(moved, it.now);
  Report();
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
  EXPECT_EQ(Starts(), 0U);
  it.CommitAll();
  EXPECT_EQ(Starts(), 1U);
}

// Guards against a worker that never gets a task again: another worker at its old address answers,
// and names its own incarnation (seed 3 of RandomFleetTest).
TEST_F(MovedWorkerTest, IncarnationOfTheWorkerAtTheOldAddressIsNotTakenForItsOwn) {
  it.TimeOut("w1");
  const HeartbeatOrder order{{"w1", MakeWorker("w1").endpoint}, 1, 0, 0, {}};
  it.dispatcher.OnReport(order, {{OrderStatus::kWrongIncarnation, 100, 3}, {}, {}}, it.now,
                         it.WallMs());
  it.dispatcher.UpdateWorker(moved, it.now);
  Report();
  it.CommitAll();
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
  EXPECT_EQ(Starts(), 1U);
}

// Guards against a second run of a task: an answer from the old address of a moved worker says
// nothing about the runs at its new address.
TEST(MovedWorkerAnswerTest, AnswerFromTheOldAddressLosesNoRunAtTheNewOne) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1"), MakeWorker("w2", 4000)});
  it.dispatcher.AddJob(MakeJob("00000000000000aa", {MakeStep(1)}), {}, false);
  it.Advance(std::chrono::milliseconds(100));
  it.Decide();
  const StartOrder first = it.orders.starts.at(0);
  ASSERT_EQ(first.to.worker, "w1");
  WorkerInfo moved = MakeWorker("w1");
  moved.endpoint.port += 500;
  moved.incarnation = 2;
  it.dispatcher.UpdateWorker(moved, it.now);
  it.CommitAll();
  const HeartbeatOrder order{{"w1", moved.endpoint}, 1, 0, 0, {}};
  it.dispatcher.OnReport(order, {{OrderStatus::kAccepted, 100, 2}, {}, {}}, it.now, it.WallMs());
  it.dispatcher.AddJob(MakeJob("00000000000000bb", {MakeStep(1)}), {}, false);
  it.Advance(std::chrono::milliseconds(100));
  it.Decide();
  const StartOrder second = it.orders.starts.at(0);
  ASSERT_EQ(second.to.worker, "w1");
  it.dispatcher.OnStarted(second, {OrderStatus::kAccepted, 200, 2}, it.now);
  it.dispatcher.OnStarted(first, {OrderStatus::kWrongIncarnation, 100, 7}, it.now);
  EXPECT_EQ(it.dispatcher.workers().at("w1").runs.count(second.run), 1U);
}

// Guards against an acknowledgement on a connection on which its ends were not listed.
TEST(ReportConnectionTest, HeartbeatsNameTheConnectionOfTheLastReport) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  for (const uint64_t connection : {7, 7, 9}) {
    HeartbeatOrder order;
    order.to = {"w1", it.dispatcher.workers().at("w1").info.endpoint};
    it.dispatcher.OnReport(order, {it.Accepted(), {}, {}, false, connection}, it.now, it.WallMs());
    it.Advance(milliseconds(1000));
    it.Decide();
    ASSERT_EQ(it.orders.heartbeats.size(), 1U);
    EXPECT_EQ(it.orders.heartbeats[0].connection, connection);
  }
}

}  // namespace
}  // namespace pomelopond::dispatch
