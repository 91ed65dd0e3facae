// Workers that have started again under their id before their owner knows.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kJob = "00000000000000aa";
constexpr const char* kOtherJob = "00000000000000bb";
constexpr Duration kMaxLease = seconds(10);
// Clock of a worker that has just started again.
constexpr int64_t kNewClockMs = 400;

DispatchLimits Limits() {
  DispatchLimits limits;
  limits.max_lease = kMaxLease;
  return limits;
}

// The only task is started on w1, which is larger than w2.
class RestartedWorkerLeaseTest : public ::testing::Test {
 protected:
  RestartedWorkerLeaseTest() {
    it.AddWorkers({MakeWorker("w1"), MakeWorker("w2", 4000)});
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
    it.Advance(milliseconds(100));
    it.Decide();
    start = it.orders.starts.at(0);
    it.Advance(milliseconds(5));
  }

  // WorkerApi takes the incarnation from the order, as the worker names none.
  Answer AnswerOfNext() const { return {OrderStatus::kAccepted, kNewClockMs, start.incarnation}; }
  void Restart() {
    WorkerInfo restarted = MakeWorker("w1");
    restarted.incarnation = 2;
    it.dispatcher.UpdateWorker(restarted, it.now);
  }

  Scenario it{1, Limits()};
  StartOrder start;
};

// Guards against a start on a later incarnation than the one to whose clock its lease end refers
// (issue 77).
TEST_F(RestartedWorkerLeaseTest, StartNamesItsIncarnation) { EXPECT_EQ(start.incarnation, 1); }

// Guards against lease ends by the clock of another incarnation than the one that they are for.
TEST_F(RestartedWorkerLeaseTest, ClockIsTakenFromReportsOnly) {
  const int64_t before = it.dispatcher.workers().at("w1").clock_ms;
  it.dispatcher.OnStarted(start, AnswerOfNext(), it.now);
  EXPECT_EQ(it.dispatcher.workers().at("w1").clock_ms, before);
}

// Guards against a task that runs twice: a start has reached a later incarnation, whose clock it
// shows, and the worker is cut off. The lease is as long as the worker's maximum.
TEST_F(RestartedWorkerLeaseTest, ClockThatIsBehindTellsOfTheLongestLease) {
  it.dispatcher.OnStarted(start, AnswerOfNext(), it.now);
  const TimePoint end = it.now + std::chrono::duration_cast<Duration>(kMaxLease / kMinClockRate);
  while (it.now < end) {
    it.Advance(milliseconds(50));
    it.TimeOut("w1");
    it.Report("w2", {}, {});
    it.Decide();
    ASSERT_TRUE(it.orders.starts.empty());
  }
}

// Guards against the same when the restart becomes known, which must not end the run that the later
// incarnation has started.
TEST_F(RestartedWorkerLeaseTest, RunOfALaterIncarnationIsNoneOfTheKnownOne) {
  it.dispatcher.OnStarted(start, AnswerOfNext(), it.now);
  Restart();
  it.Advance(milliseconds(50));
  it.Decide();
  EXPECT_EQ(it.dispatcher.workers().at("w1").runs.count(start.run), 1U);
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against a restart that the clock of another worker at the address seems to show.
TEST_F(RestartedWorkerLeaseTest, ClockOfAnotherWorkerTellsNothing) {
  it.dispatcher.OnStarted(start, {OrderStatus::kWrongIncarnation, kNewClockMs, 0}, it.now);
  EXPECT_FALSE(it.dispatcher.workers().at("w1").may_have_restarted);
}

// Guards against a restart that a stop's answer seems to show because it is handled late.
TEST_F(RestartedWorkerLeaseTest, AnswerThatIsHandledLateTellsOfNoRestart) {
  it.dispatcher.OnStarted(start, it.Accepted(), it.now);
  StopOrder stop{start.to, 1, start.run, 1, it.now};
  const Answer answer = it.Accepted();
  it.Advance(seconds(4));
  it.Report("w1", {{start.run, "", 10, 0}}, {});
  it.dispatcher.OnStopped(stop, answer, it.now);
  EXPECT_TRUE(it.dispatcher.workers().at("w1").contacted);
}

// Guards against further starts on a worker whose clock shows that it has started again.
TEST_F(RestartedWorkerLeaseTest, NothingStartsOnAWorkerWhoseClockIsBehind) {
  it.dispatcher.OnStarted(start, AnswerOfNext(), it.now);
  it.dispatcher.AddJob(MakeJob(kOtherJob, {MakeStep(1)}), {}, false);
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, "w2");
}

// Guards against a best-effort run at its full share on a new incarnation, which its owner believes
// to be slowed down.
TEST_F(RestartedWorkerLeaseTest, PaceIsOrderedAgain) {
  jobs::Step filler = MakeStep(1);
  filler.best_effort = true;
  it.dispatcher.AddJob(MakeJob(kOtherJob, {filler}), {}, false);
  it.Decide();
  const StartOrder order = it.orders.starts.at(0);
  ASSERT_EQ(order.to.worker, "w1");
  it.dispatcher.OnStarted(order, {OrderStatus::kAccepted, it.ClockMs(), 0}, it.now);
  Restart();
  EXPECT_EQ(it.dispatcher.workers().at("w1").runs.at(order.run).pace, -1);
}

}  // namespace
}  // namespace pomelopond::dispatch
