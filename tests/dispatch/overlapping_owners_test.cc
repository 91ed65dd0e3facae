// What earlier owners may have started without the new owner's knowledge: they continue without
// noticing their replacement, and their last decisions may not be durable.
#include <gtest/gtest.h>

#include <set>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kJob = "00000000000000aa";

RunId RunOf(int step, int index, int64_t run) { return {{kJob, 0, step, index}, run}; }

jobs::Job PerpetualJob() {
  jobs::Step step = MakeStep(1);
  step.perpetual = true;
  return MakeJob(kJob, {step});
}

jobs::Step After(jobs::Step step, int earlier) {
  step.after = {earlier};
  return step;
}

// Number of starts of tasks of the step in the last decision.
int StartsOf(const Scenario& it, int step) {
  int n = 0;
  for (const StartOrder& order : it.orders.starts) n += order.run.task.step == step ? 1 : 0;
  return n;
}

// An owner of epoch 2 that inherits `count` workers. The last one does not answer.
void Inherit(Scenario* it, int count) {
  for (int n = 1; n <= count; ++n) {
    const std::string id = "w" + std::to_string(n);
    it->dispatcher.InheritWorker({id, "pool", MakeWorker(id).endpoint}, {}, it->now);
    it->dispatcher.UpdateWorker(MakeWorker(id), it->now);
  }
}

// Guards against a step that starts twice. The earlier owner was told that member 0 is done, which
// counts for the whole gang, and started the next step on w3. That is not durable, and its order to
// stop member 1 was lost.
TEST(OverlappingOwnersTest, StepAfterAGangWaitsWhenOneMemberWasActive) {
  Scenario it(2);
  Inherit(&it, 3);
  jobs::Step gang = MakeStep(2);
  gang.gang = true;
  it.dispatcher.AddJob(MakeJob(kJob, {gang, After(MakeStep(1), 0)}), {}, true);
  it.CommitAll();
  it.Decide();
  it.Report("w2", {{RunOf(0, 1, 1), "", 30, 0}}, {});
  it.Report("w1", {}, {End(1, RunOf(0, 0, 1), EndKind::kDone)});
  it.Decide();
  EXPECT_EQ(StartsOf(it, 1), 0);
}

// Guards against a step that starts twice. Run 1 ended on w1 while w1 was out of reach, so the
// earlier owner started run 2 on w2. Then it was told that run 1 is done, and started the next step
// on w3. That is not durable, and its order to stop run 2 was lost.
TEST(OverlappingOwnersTest, StepWaitsWhenAnotherRunOfItsDependencyIsDone) {
  Scenario it(2);
  Inherit(&it, 3);
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1), After(MakeStep(1), 0)}), {}, true);
  it.CommitAll();
  it.Decide();
  it.Report("w2", {{RunOf(0, 0, 2), "", 30, 0}}, {});
  it.Report("w1", {}, {End(1, RunOf(0, 0, 1), EndKind::kDone)});
  it.Decide();
  EXPECT_EQ(StartsOf(it, 1), 0);
}

// Two owners, of which the first does not know that it was replaced. It reaches both workers, the
// second reaches w2 only.
class UnawareOwnerTest : public ::testing::Test {
 protected:
  UnawareOwnerTest() : first(1), second(2, DispatchLimits{}, first.now + seconds(3)) {
    first.AddWorkers({MakeWorker("w1"), MakeWorker("w2")});
    first.dispatcher.AddJob(PerpetualJob(), {}, false);
    first.Decide();
    first.ConfirmStarts();
    run = first.orders.starts.at(0).run;
    first.now += seconds(3);  // without a proof of ownership
    second.Inherit(first.durable);
    second.dispatcher.AddJob(PerpetualJob(), {}, true);
    for (const char* id : {"w1", "w2"}) second.dispatcher.UpdateWorker(MakeWorker(id), second.now);
    second.Decide();
  }

  std::string Place() const {
    return first.dispatcher.workers().at("w1").runs.empty() ? "w2" : "w1";
  }
  std::string Other() const { return Place() == "w1" ? "w2" : "w1"; }

  // Tells both owners that the worker has started again.
  void RestartForBoth(const std::string& worker) {
    WorkerInfo restarted = MakeWorker(worker);
    restarted.incarnation = 2;
    first.dispatcher.UpdateWorker(restarted, first.now);
    second.dispatcher.UpdateWorker(restarted, second.now);
  }
  void ReportToFirst(const std::string& worker, int64_t incarnation) {
    HeartbeatOrder order;
    order.to = {worker, MakeWorker(worker).endpoint};
    first.dispatcher.OnReport(order,
                              {{OrderStatus::kAccepted, first.ClockMs(), incarnation}, {}, {}},
                              first.now, first.WallMs());
  }

  Scenario first;
  Scenario second;
  RunId run;
};

// Guards against a task that runs twice. A worker holds back its report to the first owner until a
// run ends, 1 s at most. It may have taken the call before the second owner's and answer it later.
TEST_F(UnawareOwnerTest, EndThatTheFirstOwnerIsToldOfLateFreesTheTaskOnce) {
  first.Decide();  // the call that the worker holds back
  second.Report(Place(), {{run, "", 100, 0}}, {});
  second.Decide();
  const std::vector<EndedRun> ended = {End(1, run, EndKind::kFailed)};
  const std::string place = Place();
  const std::string other = Other();
  first.Report(other, {}, {});
  first.Report(place, {}, ended);
  first.Decide();
  second.now += milliseconds(50);
  second.Report(place, {}, ended);
  second.Decide();
  std::set<std::string> started;
  for (const Scenario* it : {&first, &second}) {
    for (const StartOrder& order : it->orders.starts) {
      // `place` refuses the first owner.
      if (it == &first && order.to.worker == place) continue;
      started.insert(order.to.worker);
    }
  }
  EXPECT_LE(started.size(), 1U);
}

// Guards against a task that runs twice. A worker that has restarted holds no run, but as long as
// it has not answered the second owner, it takes runs from the first one, which here reaches no
// other worker.
TEST_F(UnawareOwnerTest, RestartedWorkerIsWaitedForUntilItAnswers) {
  const std::string place = Place();
  const std::string other = Other();
  WorkerInfo restarted = MakeWorker(place);
  restarted.incarnation = 2;
  first.TimeOut(other);
  first.dispatcher.UpdateWorker(restarted, first.now);
  first.Decide();
  HeartbeatOrder order;
  order.to = {place, restarted.endpoint};
  first.dispatcher.OnReport(order, {{OrderStatus::kAccepted, first.ClockMs(), 2}, {}, {}},
                            first.now, first.WallMs());
  first.now += milliseconds(100);
  first.Decide();
  second.dispatcher.UpdateWorker(restarted, second.now);
  second.Report(other, {}, {});
  second.Decide();
  EXPECT_FALSE(first.orders.starts.empty());
  EXPECT_TRUE(second.orders.starts.empty());
}

// Guards against a task that runs twice. A worker that has answered the second owner restarts. The
// new incarnation has not, and takes runs from the first owner.
TEST_F(UnawareOwnerTest, WorkerThatRestartsAfterItsAnswerIsWaitedForAgain) {
  const std::string place = Place();
  const std::string other = Other();
  second.Report(place, {{run, "", 100, 0}}, {});
  second.Report(other, {}, {});
  second.Decide();
  RestartForBoth(place);
  first.TimeOut(other);
  ReportToFirst(place, 2);
  first.now += milliseconds(100);
  first.Decide();
  second.Decide();
  EXPECT_FALSE(first.orders.starts.empty());
  EXPECT_TRUE(second.orders.starts.empty());
}

// Guards against a second owner that waits for such a worker after its answer.
TEST_F(UnawareOwnerTest, RestartedWorkerThatAnswersIsNotWaitedFor) {
  const std::string place = Place();
  second.Report(place, {{run, "", 100, 0}}, {});
  second.Report(Other(), {}, {});
  second.Decide();
  RestartForBoth(place);
  HeartbeatOrder order;
  order.to = {place, MakeWorker(place).endpoint};
  second.dispatcher.OnReport(order, {{OrderStatus::kAccepted, 1, 2}, {}, {}}, second.now,
                             second.WallMs());
  second.Decide();
  EXPECT_EQ(second.orders.starts.size(), 1U);
}

// Guards against a task that runs twice. The second owner has seen its run when the first could no
// longer be told of its end, but both notice that it is lost with its worker.
TEST_F(UnawareOwnerTest, AdoptedRunThatIsLostFreesTheTaskOnce) {
  const std::string place = Place();
  const std::string other = Other();
  for (int n = 0; n < 2; ++n) {
    second.Report(place, {{run, "", 100, 0}}, {});
    second.now += seconds(2);
    first.now += seconds(2);
    second.dispatcher.OnOwnershipProof(second.now);
    second.Decide();
  }
  second.Report(place, {{run, "", 100, 0}}, {});
  RestartForBoth(place);
  first.Decide();
  HeartbeatOrder order;
  order.to = {place, MakeWorker(place).endpoint};
  second.dispatcher.OnReport(order, {{OrderStatus::kAccepted, 1, 2}, {}, {}}, second.now,
                             second.WallMs());
  second.Decide();
  ASSERT_FALSE(first.orders.starts.empty());
  EXPECT_EQ(first.orders.starts[0].to.worker, other);
  EXPECT_TRUE(second.orders.starts.empty());
}

// Guards against a next owner that starts a task while w1 still runs it. The lease of w1 has ended
// and its registration has lapsed while its bound is written; then w1 comes back.
TEST(StaleBoundTest, WorkerThatComesBackGetsNoTaskUntilItsBoundIsWithdrawn) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  it.dispatcher.AddJob(PerpetualJob(), {}, false);
  it.Decide();
  it.ConfirmStarts();
  it.dispatcher.DeregisterWorker("w1", it.now);
  it.TimeOut("w1");
  it.TimeOut("w1");
  // Stops when the lease has ended; bounds are written each second.
  for (int n = 0; n < 200 && it.dispatcher.workers().count("w1") > 0; ++n) {
    it.CommitAll();
    it.Advance(milliseconds(50));
    it.Decide();
    if (it.dispatcher.workers().count("w1") > 0) it.TimeOut("w1");
  }
  ASSERT_EQ(it.dispatcher.workers().count("w1"), 0U);
  it.dispatcher.UpdateWorker(MakeWorker("w1"), it.now);
  it.CommitAll();
  it.Decide();
  it.Report("w1", {}, {});
  it.Advance(milliseconds(50));
  it.Decide();
  const LeaseBounds written = DecodeLeaseBounds(it.durable.lease_bounds).value;
  EXPECT_TRUE(it.orders.starts.empty() || written.left_ms.count("w1") == 0)
      << "bound in ms: " << written.left_ms.at("w1");
  size_t starts = it.orders.starts.size();
  it.CommitAll();
  it.Report("w1", {}, {});
  it.Advance(milliseconds(50));
  it.Decide();
  starts += it.orders.starts.size();
  EXPECT_EQ(starts, 1U);
}

}  // namespace
}  // namespace pomelopond::dispatch
