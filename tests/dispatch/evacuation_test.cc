// Evacuated failure domains: what starts there, what moves away, and cold workers afterwards.
#include "dispatch/evacuation.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::set<std::string> kEast = {"east"};

WorkerInfo WorkerIn(const std::string& id, const std::string& domain) {
  WorkerInfo worker = MakeWorker(id);
  worker.failure_domain = domain;
  return worker;
}

jobs::Step PerpetualStep(int replicas, int max_unavailable) {
  jobs::Step step = MakeStep(replicas);
  step.perpetual = true;
  step.max_unavailable = max_unavailable;
  return step;
}

bool StartsOn(const Orders& orders, const std::string& worker) {
  return std::any_of(orders.starts.begin(), orders.starts.end(),
                     [&worker](const StartOrder& it) { return it.to.worker == worker; });
}

std::vector<RunId> StopsOn(const Orders& orders, const std::string& worker) {
  std::vector<RunId> out;
  for (const StopOrder& it : orders.stops) {
    if (it.to.worker == worker) out.push_back(it.run);
  }
  return out;
}

class EvacuationTest : public testing::Test {
 protected:
  // Starts all tasks of the job on w1, the only worker, and reports them at work.
  std::vector<RunId> StartOnW1(const jobs::Job& job) {
    it_.AddWorkers({WorkerIn("w1", "east")});
    it_.dispatcher.AddJob(job, {}, false);
    it_.Decide();
    it_.ConfirmStarts();
    const std::vector<RunId> runs = it_.Started();
    ReportAtWork("w1", runs);
    return runs;
  }

  void ReportAtWork(const std::string& worker, const std::vector<RunId>& runs) {
    std::vector<ActiveRun> active;
    for (const RunId& run : runs) active.push_back({run, "", 100, 0});
    it_.Report(worker, active, {});
  }

  void Evacuate() { it_.dispatcher.SetEvacuatedDomains(kEast, it_.now); }

  Scenario it_;
};

// Guards against a task that starts in an evacuated domain.
TEST_F(EvacuationTest, NothingStartsInTheDomainUntilItIsTakenBack) {
  it_.AddWorkers({WorkerIn("w1", "east")});
  Evacuate();
  it_.dispatcher.AddJob(MakeJob("a", {MakeStep(2)}), {}, false);
  it_.Decide();
  EXPECT_TRUE(it_.orders.starts.empty());
  it_.dispatcher.SetEvacuatedDomains({}, it_.now);
  it_.Decide();
  EXPECT_EQ(it_.orders.starts.size(), 2u);
}

// Guards against a worker that registers during the evacuation and gets tasks.
TEST_F(EvacuationTest, WorkerThatRegistersLaterGetsNothing) {
  Evacuate();
  it_.AddWorkers({WorkerIn("w1", "east"), WorkerIn("w2", "west")});
  it_.dispatcher.AddJob(MakeJob("a", {MakeStep(4)}), {}, false);
  it_.Decide();
  EXPECT_EQ(it_.orders.starts.size(), 4u);
  EXPECT_FALSE(StartsOn(it_.orders, "w1"));
}

// Guards against members of a gang that start in an evacuated domain.
TEST_F(EvacuationTest, GangStartsOutsideTheDomain) {
  jobs::Step gang = MakeStep(2, 9000);
  gang.gang = true;
  it_.AddWorkers({WorkerIn("w1", "east"), WorkerIn("w2", "west")});
  Evacuate();
  it_.dispatcher.AddJob(MakeJob("a", {gang}), {}, false);
  it_.Decide();
  EXPECT_TRUE(it_.orders.starts.empty());
}

// Guards against a run that is stopped to free room in an evacuated domain.
TEST_F(EvacuationTest, NothingIsPreemptedInTheDomain) {
  jobs::Job low = MakeJob("a", {MakeStep(1, 16000)});
  low.rules.priority = 2;
  StartOnW1(low);
  Evacuate();
  it_.dispatcher.AddJob(MakeJob("b", {MakeStep(1, 16000)}), {}, false);
  it_.Decide();
  EXPECT_TRUE(it_.orders.stops.empty());
}

// Guards against a start order without an answer that is sent again, or takes effect late.
TEST_F(EvacuationTest, StartWithoutAnAnswerIsStoppedAndNotRepeated) {
  it_.AddWorkers({WorkerIn("w1", "east")});
  it_.dispatcher.AddJob(MakeJob("a", {MakeStep(1)}), {}, false);
  it_.Decide();
  ASSERT_EQ(it_.orders.starts.size(), 1u);
  const StartOrder order = it_.orders.starts[0];
  Evacuate();
  it_.dispatcher.OnStarted(order, {OrderStatus::kNoAnswer, 0, 0}, it_.now);
  it_.Advance(seconds(1));
  it_.Report("w1", {}, {});
  it_.Decide();
  EXPECT_TRUE(it_.orders.starts.empty());
  EXPECT_EQ(StopsOn(it_.orders, "w1"), std::vector<RunId>{order.run});
}

// Guards against perpetual tasks that stop serving because they are moved too many at a time.
TEST_F(EvacuationTest, PerpetualTasksMoveWithinTheirLimit) {
  const std::vector<RunId> runs = StartOnW1(MakeJob("a", {PerpetualStep(3, 1)}));
  it_.AddWorkers({WorkerIn("w2", "west")});
  Evacuate();
  std::set<RunId> left(runs.begin(), runs.end());
  std::vector<RunId> moved;
  for (int n = 0; n < 3; ++n) {
    it_.Advance(milliseconds(500));
    it_.Decide();
    const std::vector<RunId> stopped = StopsOn(it_.orders, "w1");
    ASSERT_EQ(stopped.size(), 1u);
    left.erase(stopped[0]);
    // No other one moves until this one serves again.
    it_.Advance(milliseconds(500));
    it_.Decide();
    EXPECT_TRUE(it_.orders.stops.empty());
    std::vector<ActiveRun> active;
    for (const RunId& run : left) active.push_back({run, "", 100, 0});
    it_.Report("w1", active, {End(n + 1, stopped[0], EndKind::kStopped)});
    it_.CommitAll();
    it_.Decide();
    ASSERT_EQ(it_.orders.starts.size(), 1u);
    EXPECT_EQ(it_.orders.starts[0].to.worker, "w2");
    it_.ConfirmStarts();
    moved.push_back(it_.orders.starts[0].run);
    ReportAtWork("w2", moved);
  }
  EXPECT_TRUE(left.empty());
}

// Guards against a perpetual task that is stopped although no other worker has room for it.
TEST_F(EvacuationTest, PerpetualTaskWithoutRoomElsewhereStays) {
  StartOnW1(MakeJob("a", {PerpetualStep(1, 1)}));
  WorkerInfo small = WorkerIn("w2", "west");
  small.capacity.cpu_milli = 500;
  it_.AddWorkers({small});
  Evacuate();
  it_.Advance(seconds(1));
  it_.Decide();
  EXPECT_TRUE(it_.orders.stops.empty());
  const PoolSummary summary = it_.dispatcher.Summary(it_.now, it_.WallMs());
  EXPECT_EQ(summary.evacuated_domains, 1);
  EXPECT_EQ(summary.evacuated_runs.perpetual, 1);
  EXPECT_EQ(summary.evacuation_round.without_room, 1);
}

// Guards against a step that allows no unavailable task and loses one.
TEST_F(EvacuationTest, StepWithoutAnAllowanceStays) {
  StartOnW1(MakeJob("a", {PerpetualStep(2, 0)}));
  it_.AddWorkers({WorkerIn("w2", "west")});
  Evacuate();
  it_.Advance(seconds(1));
  it_.Decide();
  EXPECT_TRUE(it_.orders.stops.empty());
}

// Guards against work that is thrown away: only runs with checkpoints are stopped.
TEST_F(EvacuationTest, RunsWithCheckpointsMoveAndOthersRunToTheirEnd) {
  jobs::Step saving = MakeStep(1);
  saving.checkpoint = true;
  const std::vector<RunId> runs = StartOnW1(MakeJob("a", {saving, MakeStep(1)}));
  it_.AddWorkers({WorkerIn("w2", "west")});
  Evacuate();
  it_.Advance(seconds(1));
  it_.Decide();
  const std::vector<RunId> stopped = StopsOn(it_.orders, "w1");
  ASSERT_EQ(stopped.size(), 1u);
  EXPECT_EQ(stopped[0].task.step, 0);
}

// Guards against moves that take the room of tasks that wait: those have no run at all.
TEST_F(EvacuationTest, RunsDoNotMoveIntoRoomThatWaitingTasksWant) {
  jobs::Step saving = MakeStep(1);
  saving.checkpoint = true;
  StartOnW1(MakeJob("a", {saving}));
  WorkerInfo small = WorkerIn("w2", "west");
  small.capacity = {2000, 64000, 0};
  it_.AddWorkers({small});
  Evacuate();
  // Fits an empty w2 but not beside the task that it already runs.
  it_.dispatcher.AddJob(MakeJob("b", {MakeStep(1, 1000)}), {}, false);
  it_.Decide();
  it_.ConfirmStarts();
  it_.dispatcher.AddJob(MakeJob("c", {MakeStep(1, 2000)}), {}, false);
  it_.Advance(seconds(1));
  it_.Decide();
  EXPECT_TRUE(StopsOn(it_.orders, "w1").empty());
}

// Guards against moves one at a time into a worker that has room for more.
TEST_F(EvacuationTest, SeveralRunsMoveIntoTheRoomOfOneWorker) {
  jobs::Step saving = MakeStep(3);
  saving.checkpoint = true;
  StartOnW1(MakeJob("a", {saving}));
  it_.AddWorkers({WorkerIn("w2", "west")});
  Evacuate();
  it_.Advance(seconds(1));
  it_.Decide();
  EXPECT_EQ(StopsOn(it_.orders, "w1").size(), 3u);
}

// Guards against runs that are stopped for room which an earlier run, whose end takes long, was
// already stopped for.
TEST_F(EvacuationTest, RunsThatAreStillBeingStoppedHoldTheRoomTheyMoveTo) {
  jobs::Step saving = MakeStep(3);
  saving.checkpoint = true;
  StartOnW1(MakeJob("a", {saving}));
  it_.AddWorkers({WorkerIn("w2", "west")});
  WorkerInfo small = WorkerIn("w2", "west");
  small.capacity.cpu_milli = 1000;
  it_.dispatcher.UpdateWorker(small, it_.now);
  Evacuate();
  it_.Advance(milliseconds(500));
  it_.Decide();
  EXPECT_EQ(StopsOn(it_.orders, "w1").size(), 1u);
  it_.Advance(milliseconds(500));
  it_.Decide();
  EXPECT_TRUE(StopsOn(it_.orders, "w1").empty());
}

// Guards against idle jobs that wait for good because the evacuated third counts as room.
TEST_F(EvacuationTest, PoolIsUnderusedIfTheRestOfItIs) {
  SpareProcessor spare;
  spare.capacity = 100;
  spare.reserved = 70;
  spare.open_capacity = 60;
  spare.open_reserved = 30;
  EXPECT_TRUE(IsUnderused(spare));
  spare.open_reserved = 50;
  EXPECT_FALSE(IsUnderused(spare));
  spare.reserved = 50;
  EXPECT_TRUE(IsUnderused(spare));
}

// Guards against an evacuated domain whose capacity, or whose runs, count for the rest of the pool.
TEST_F(EvacuationTest, SumsOfTheRestLeaveOutTheDomain) {
  StartOnW1(MakeJob("a", {MakeStep(3)}));
  it_.AddWorkers({WorkerIn("w2", "west")});
  Evacuate();
  const SpareProcessor spare = SpareProcessors(it_.dispatcher.workers(), it_.now).at("pool");
  EXPECT_EQ(spare.capacity, 32000);
  EXPECT_EQ(spare.reserved, 3000);
  EXPECT_EQ(spare.open_capacity, 16000);
  EXPECT_EQ(spare.open_reserved, 0);
}

// Guards against starts of an owner that does not know of an evacuation.
TEST_F(EvacuationTest, HeldStartsWaitUntilTheyAreReleased) {
  it_.AddWorkers({WorkerIn("w1", "east")});
  it_.dispatcher.HoldStarts(true);
  it_.dispatcher.AddJob(MakeJob("a", {MakeStep(1)}), {}, false);
  it_.Decide();
  EXPECT_TRUE(it_.orders.starts.empty());
  it_.dispatcher.HoldStarts(false);
  it_.Advance(milliseconds(100));
  it_.Decide();
  EXPECT_EQ(it_.orders.starts.size(), 1u);
}

// Guards against a start order without an answer that is repeated while starts are held, or takes
// effect late in a domain whose evacuation this owner has missed.
TEST_F(EvacuationTest, HeldStartsAreNotRepeatedButStopped) {
  it_.AddWorkers({WorkerIn("w1", "east")});
  it_.dispatcher.AddJob(MakeJob("a", {MakeStep(1)}), {}, false);
  it_.Decide();
  ASSERT_EQ(it_.orders.starts.size(), 1u);
  const RunId run = it_.orders.starts[0].run;
  it_.dispatcher.OnStarted(it_.orders.starts[0], {OrderStatus::kNoAnswer, 0, 0}, it_.now);
  it_.dispatcher.HoldStarts(true);
  it_.Advance(seconds(1));
  it_.Report("w1", {}, {});
  it_.Decide();
  EXPECT_TRUE(it_.orders.starts.empty());
  it_.Decide();
  EXPECT_EQ(StopsOn(it_.orders, "w1"), std::vector<RunId>{run});
}

// Guards against tasks that are placed on cold workers beside warm ones with less room.
TEST_F(EvacuationTest, ColdWorkersComeLastWhileTheyAreCold) {
  WorkerInfo cold = WorkerIn("w1", "east");
  cold.cold_ms = 5000;
  WorkerInfo warm = WorkerIn("w2", "west");
  warm.capacity.cpu_milli = 4000;
  it_.AddWorkers({cold, warm});
  it_.dispatcher.AddJob(MakeJob("a", {MakeStep(1)}), {}, false);
  it_.Decide();
  EXPECT_TRUE(StartsOn(it_.orders, "w2"));
  it_.ConfirmStarts();
  it_.Advance(seconds(6));
  it_.Report("w1", {}, {});
  it_.dispatcher.AddJob(MakeJob("b", {MakeStep(1)}), {}, false);
  it_.Decide();
  EXPECT_TRUE(StartsOn(it_.orders, "w1"));
}

// Guards against a list of the workers that is read again and makes a warm worker cold.
TEST_F(EvacuationTest, RepeatedRegistrationDoesNotProlongTheColdTime) {
  WorkerInfo cold = WorkerIn("w1", "east");
  cold.cold_ms = 5000;
  it_.AddWorkers({cold});
  it_.Advance(seconds(6));
  it_.dispatcher.UpdateWorker(cold, it_.now);
  EXPECT_FALSE(IsCold(it_.dispatcher.workers().at("w1"), it_.now));
}

// Guards against a worker that starts again, shows this in a report before it registers, and is
// then taken for warm.
TEST_F(EvacuationTest, WorkerIsColdAgainAfterARestartThatAReportShowsFirst) {
  WorkerInfo cold = WorkerIn("w1", "east");
  cold.cold_ms = 5000;
  it_.AddWorkers({cold});
  it_.Advance(seconds(6));
  const HeartbeatOrder order{{"w1", cold.endpoint}, 1, 0, 0, {}};
  it_.dispatcher.OnReport(order, {{OrderStatus::kAccepted, 100, 2}, {}, {}}, it_.now, it_.WallMs());
  cold.incarnation = 2;
  it_.dispatcher.UpdateWorker(cold, it_.now);
  EXPECT_TRUE(IsCold(it_.dispatcher.workers().at("w1"), it_.now));
}

// Guards against a gang whose members start on one cold worker all at once.
TEST_F(EvacuationTest, GangKeepsToTheRateOfAColdWorker) {
  jobs::Step gang = MakeStep(3);
  gang.gang = true;
  WorkerInfo cold = WorkerIn("w1", "east");
  cold.cold_ms = 5000;
  it_.AddWorkers({cold});
  it_.dispatcher.SetColdStartRates({{"pool", 2}});
  it_.dispatcher.AddJob(MakeJob("a", {gang}), {}, false);
  it_.Decide();
  EXPECT_TRUE(it_.orders.starts.empty());
  it_.Advance(seconds(6));
  it_.Report("w1", {}, {});
  it_.Decide();
  EXPECT_EQ(it_.orders.starts.size(), 3u);
}

// Guards against a rate so low that the time to the next start is out of range.
TEST_F(EvacuationTest, LowestRateOfColdStartsPermitsOne) {
  WorkerInfo cold = WorkerIn("w1", "east");
  cold.cold_ms = 5000;
  it_.AddWorkers({cold});
  it_.dispatcher.SetColdStartRates({{"pool", 1e-300}});
  it_.dispatcher.AddJob(MakeJob("a", {MakeStep(2)}), {}, false);
  it_.Decide();
  EXPECT_EQ(it_.orders.starts.size(), 1u);
}

// Guards against more starts on a cold worker than its service's rate permits.
TEST_F(EvacuationTest, ColdWorkerGetsStartsAtItsRate) {
  WorkerInfo cold = WorkerIn("w1", "east");
  cold.cold_ms = 5000;
  it_.AddWorkers({cold});
  it_.dispatcher.SetColdStartRates({{"pool", 2}});
  it_.dispatcher.AddJob(MakeJob("a", {MakeStep(8)}), {}, false);
  int starts = 0;
  for (int n = 0; n < 20; ++n) {
    it_.Decide();
    starts += static_cast<int>(it_.orders.starts.size());
    it_.ConfirmStarts();
    it_.Advance(milliseconds(100));
    it_.Report("w1", {}, {});
  }
  EXPECT_EQ(starts, 4);
}

}  // namespace
}  // namespace pomelopond::dispatch
