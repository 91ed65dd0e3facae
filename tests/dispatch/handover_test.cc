// What an owner inherits from the one before it, and for how long its tasks wait for workers that
// are gone.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kJob = "00000000000000aa";
// Longest wait of a new owner for a worker that it cannot reach: the horizon of leases on the
// slowest clock that a worker may have, and the slack of its timers.
constexpr Duration kLongestWait = milliseconds(8500);

RunId RunOf(int step, int index, int64_t run) { return {{kJob, 0, step, index}, run}; }

jobs::Job PerpetualJob(int replicas) {
  jobs::Step step = MakeStep(replicas);
  step.perpetual = true;
  return MakeJob(kJob, {step});
}

// An owner of epoch 2 that inherits w1 and w2. The job's task runs on w2; w1 does not answer.
class UnreachableWorkerTest : public ::testing::Test {
 protected:
  UnreachableWorkerTest() : it(2) {
    it.dispatcher.InheritWorker({"w1", "pool", MakeWorker("w1").endpoint}, {}, it.now);
    it.dispatcher.InheritWorker({"w2", "pool", MakeWorker("w2").endpoint}, {}, it.now);
    for (const char* id : {"w1", "w2", "w3"}) it.dispatcher.UpdateWorker(MakeWorker(id), it.now);
  }

  void TakeOver(const jobs::Job& job) {
    it.dispatcher.AddJob(job, {}, true);
    it.CommitAll();
    it.Decide();
    it.Report("w2", {{RunOf(0, 0, 1), "", 30, 0}}, {});
    it.Report("w3", {}, {});
    it.Decide();
  }

  // Lets w2 report its run as active, as an answer to a call that is sent after `by`.
  void ReportActive(Duration by) {
    it.Advance(by);
    it.Report("w2", {{RunOf(0, 0, 1), "", 40, 0}}, {});
    it.Decide();
    it.Report("w2", {{RunOf(0, 0, 1), "", 50, 0}}, {});
    it.Decide();
  }

  Scenario it;
};

// Guards against a task that stays away although only the run that has just ended can have existed.
TEST_F(UnreachableWorkerTest, DoesNotHoldUpATaskWhoseAdoptedRunEnded) {
  TakeOver(PerpetualJob(1));
  ReportActive(milliseconds(1200));
  ASSERT_TRUE(it.orders.starts.empty());
  it.Report("w2", {}, {End(1, RunOf(0, 0, 1), EndKind::kStopped)});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].run.task, RunOf(0, 0, 1).task);
}

// Guards against a second run of a task that the unreachable worker may still run.
TEST_F(UnreachableWorkerTest, HoldsUpATaskWhoseLastRunIsUnknown) {
  TakeOver(PerpetualJob(2));
  ReportActive(milliseconds(1200));
  it.Report("w2", {}, {End(1, RunOf(0, 0, 1), EndKind::kStopped)});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].run.task.index, 0);
}

// Guards against a run that this owner never saw active: it may have ended long ago, and the
// earlier owner may have started the task again on the unreachable worker.
TEST_F(UnreachableWorkerTest, HoldsUpATaskWhoseRunIsOnlyKnownToHaveEnded) {
  it.dispatcher.AddJob(PerpetualJob(1), {}, true);
  it.CommitAll();
  it.Decide();
  it.Report("w3", {}, {});
  it.Report("w2", {}, {End(1, RunOf(0, 0, 1), EndKind::kStopped)});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against a task that runs twice: a worker answers a call of the earlier owner that it took
// before the takeover up to 1 s later, so the earlier owner may be told of the end as well.
TEST_F(UnreachableWorkerTest, HoldsUpATaskWhoseRunEndedSoonAfterTheTakeover) {
  TakeOver(PerpetualJob(1));
  ReportActive(milliseconds(900));
  it.Report("w2", {}, {End(1, RunOf(0, 0, 1), EndKind::kStopped)});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against a task that starts after it is done: an earlier run of it may have ended as done
// on the unreachable worker.
TEST_F(UnreachableWorkerTest, HoldsUpATaskThatIsNotPerpetual) {
  TakeOver(MakeJob(kJob, {MakeStep(1)}));
  ReportActive(milliseconds(1200));
  it.Report("w2", {}, {End(1, RunOf(0, 0, 1), EndKind::kFailed)});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against a step that starts twice: its dependency ended before the takeover, so the earlier
// owner may have started it on the unreachable worker.
TEST_F(UnreachableWorkerTest, HoldsUpAStepThatWasReadyBeforeTheTakeover) {
  jobs::Step second = MakeStep(2);
  second.after = {0};
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1), second}), {}, true);
  it.CommitAll();
  it.Decide();
  it.Report("w3", {}, {});
  it.Report("w2", {}, {End(1, RunOf(0, 0, 1), EndKind::kDone)});
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against a wait that starts anew with each change of the owner: no owner since the first
// takeover has extended the lease of the unreachable worker.
TEST(HandoverTest, SecondTakeoverDoesNotRestartTheWaitForAnUnreachableWorker) {
  Scenario first(1);
  first.AddWorkers({MakeWorker("w1"), MakeWorker("w2")});
  const TimePoint took_over = first.now;
  const jobs::Job job = PerpetualJob(1);
  std::unique_ptr<Scenario> owner;
  DurableState durable = first.durable;
  // Returns whether the owner starts the task within `duration`. w1 never answers.
  const auto start_within = [&](int64_t epoch, TimePoint from, Duration duration) {
    owner = std::make_unique<Scenario>(epoch, DispatchLimits{}, from);
    owner->Inherit(durable);
    owner->dispatcher.AddJob(job, {}, true);
    owner->dispatcher.UpdateWorker(MakeWorker("w2"), owner->now);
    for (Duration passed{}; passed <= duration; passed += milliseconds(100)) {
      owner->Decide();
      if (!owner->orders.starts.empty()) return true;
      owner->Report("w2", {}, {});
      if (owner->dispatcher.workers().count("w1") > 0) owner->TimeOut("w1");
      owner->CommitAll();
      owner->Advance(milliseconds(100));
    }
    durable = owner->durable;
    return false;
  };
  ASSERT_FALSE(start_within(2, took_over, seconds(6)));
  // The committed state may be one second old.
  EXPECT_TRUE(start_within(3, owner->now, kLongestWait + seconds(1) - seconds(6)));
}

// Guards against owners that follow each other within two heartbeats and their time limits, so that
// none of them sees the worker as unreachable by itself.
TEST(HandoverTest, BoundsOutliveOwnersOfAFewSeconds) {
  DurableState durable;
  durable.workers_in_use = Encode(std::vector<WorkerInUse>{
      {"w1", "pool", MakeWorker("w1").endpoint}, {"w2", "pool", MakeWorker("w2").endpoint}});
  LeaseBounds bounds;
  bounds.epoch = 1;
  bounds.left_ms["w1"] = 5000;
  durable.lease_bounds = Encode(bounds);
  TimePoint now(std::chrono::hours(1));
  int starts = 0;
  // A bound may be 1 s old at a takeover, so each owner of 2 s shortens the wait by 1 s at least.
  for (int64_t epoch = 2; epoch <= 7; ++epoch) {
    Scenario owner(epoch, DispatchLimits{}, now);
    owner.Inherit(durable);
    owner.dispatcher.AddJob(PerpetualJob(1), {}, true);
    owner.dispatcher.UpdateWorker(MakeWorker("w2"), owner.now);
    for (int n = 0; n < 20; ++n) {
      owner.Decide();
      starts += static_cast<int>(owner.orders.starts.size());
      owner.Report("w2", {}, {});
      owner.CommitAll();
      owner.Advance(milliseconds(100));
    }
    now = owner.now;
    durable = owner.durable;
  }
  EXPECT_GT(starts, 0);
}

// Worker w1 runs the only task and then announces that it leaves.
class LeavingWorkerTest : public ::testing::Test {
 protected:
  LeavingWorkerTest() {
    it.AddWorkers({MakeWorker("w1")});
    it.dispatcher.AddJob(PerpetualJob(1), {}, false);
    it.Decide();
    it.ConfirmStarts();
    run = it.orders.starts.at(0).run;
    leaving = MakeWorker("w1");
    leaving.draining = true;
    it.dispatcher.UpdateWorker(leaving, it.now);
    Commit();
  }

  void Commit() {
    it.Advance(milliseconds(100));
    it.Decide();
    it.CommitAll();
  }
  bool IsInUse() const { return !DecodeWorkersInUse(it.durable.workers_in_use).value.empty(); }

  Scenario it;
  RunId run;
  WorkerInfo leaving;
};

// Guards against a next owner that waits for a worker that holds no run any more.
TEST_F(LeavingWorkerTest, IsNotLeftToTheNextOwnerOnceItIsEmpty) {
  EXPECT_TRUE(IsInUse());
  it.Report("w1", {}, {End(1, run, EndKind::kStopped)});
  Commit();
  EXPECT_FALSE(IsInUse());
}

// Guards against a start on a worker that the next owner would not ask for its runs.
TEST_F(LeavingWorkerTest, GetsNoTaskBeforeItIsInUseAgain) {
  it.Report("w1", {}, {End(1, run, EndKind::kStopped)});
  Commit();
  leaving.draining = false;
  it.dispatcher.UpdateWorker(leaving, it.now);
  it.Advance(milliseconds(100));
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.CommitAll();
  EXPECT_TRUE(IsInUse());
  it.Advance(milliseconds(100));
  it.Decide();
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

// Worker w1 runs two tasks and does not answer for some calls. The smaller worker w2 is empty.
class BoundedLeaseTest : public ::testing::Test {
 protected:
  BoundedLeaseTest() {
    it.AddWorkers({MakeWorker("w1"), MakeWorker("w2", 4000)});
    it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(2)}), {}, false);
    it.Decide();
    it.ConfirmStarts();
    Step(seconds(2));
    it.TimeOut("w1");
    it.TimeOut("w1");
    Step(seconds(1));
    it.CommitAll();
  }

  void Step(Duration by) {
    it.Advance(by);
    it.Decide();
  }
  LeaseBounds Written() const { return DecodeLeaseBounds(it.durable.lease_bounds).value; }
  void Answer() { it.Report("w1", {{RunOf(0, 0, 1), "", 30, 0}, {RunOf(0, 1, 1), "", 30, 0}}, {}); }
  int64_t LastLeaseEnd() const {
    int64_t out = 0;
    for (const HeartbeatOrder& order : it.orders.heartbeats) {
      if (order.to.worker == "w1") out = order.lease_end_ms;
    }
    return out;
  }

  Scenario it;
};

// Guards against a bound that is shorter than the lease: the worker's clock may be 2% slow.
TEST_F(BoundedLeaseTest, CoversTheLeaseThatWasGranted) {
  ASSERT_EQ(Written().left_ms.count("w1"), 1U);
  EXPECT_GE(Written().left_ms.at("w1"), 2000);
  EXPECT_LE(Written().left_ms.at("w1"), 2500);
}

// Guards against a next owner that starts a task while the worker still runs it: this owner
// extended the lease after it had written the bound.
TEST_F(BoundedLeaseTest, IsExtendedOnlyOnceTheBoundIsWithdrawn) {
  Answer();
  Step(milliseconds(600));
  EXPECT_EQ(LastLeaseEnd(), 0);
  Answer();
  it.CommitAll();
  EXPECT_TRUE(Written().left_ms.empty());
  Step(milliseconds(100));
  EXPECT_GT(LastLeaseEnd(), 0);
}

// Guards against a start on a worker whose bound the next owner may rely on, and against a task
// that waits for this worker although another one has room.
TEST_F(BoundedLeaseTest, GetsNoTaskUntilTheBoundIsWithdrawn) {
  Answer();
  it.dispatcher.AddJob(MakeJob("00000000000000bb", {MakeStep(1)}), {}, false);
  Step(milliseconds(600));
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, "w2");
  it.CommitAll();
  it.dispatcher.AddJob(MakeJob("00000000000000cc", {MakeStep(1)}), {}, false);
  Step(milliseconds(100));
  ASSERT_EQ(it.orders.starts.size(), 1U);
  EXPECT_EQ(it.orders.starts[0].to.worker, "w1");
}

// Guards against bounds of an owner before the last one: the last owner may be of a version that
// writes none and extends leases.
TEST_F(BoundedLeaseTest, HoldsForTheNextEpochOnly) {
  EXPECT_EQ(BoundsFor(2, Written()), Written());
  EXPECT_TRUE(BoundsFor(3, Written()).left_ms.empty());
  EXPECT_TRUE(BoundsFor(1, Written()).left_ms.empty());
}

// Guards against a stored value that ends the process or shortens a wait.
TEST(LeaseBoundsTest, MalformedValuesAreRefused) {
  LeaseBounds negative;
  negative.left_ms["w1"] = -1;
  EXPECT_FALSE(DecodeLeaseBounds(Encode(negative)).ok());
  EXPECT_FALSE(DecodeLeaseBounds("").ok());
  EXPECT_FALSE(DecodeLeaseBounds("\x92\x01\xa3").ok());
  LeaseBounds bounds;
  bounds.epoch = 3;
  bounds.left_ms["w1"] = 250;
  EXPECT_EQ(DecodeLeaseBounds(Encode(bounds)).value, bounds);
}

// A worker of a simulated pool. It answers at once, until it is gone.
struct SimulatedWorker {
  WorkerInfo info;
  TimePoint gone_at = TimePoint::max();
  int64_t epoch = 0;
  std::set<RunId> active;
  std::vector<EndedRun> ended;
};

// A pool in which one worker after the other is replaced while the owner changes again and again.
class SimulatedPool {
 public:
  SimulatedPool() {
    for (int n = 0; n < kWorkers; ++n) AddWorker();
    job_ = PerpetualJob(kTasks);
    TakeOver(false);
  }

  void Step() {
    owner_->Advance(kStep);
    const TimePoint now = owner_->now;
    for (auto& [id, it] : workers_) {
      if (it.gone_at > now || it.gone_at + kStep <= now) continue;
      it.active.clear();
      owner_->dispatcher.DeregisterWorker(id, now);
    }
    owner_->Decide();
    Deliver(owner_->orders);
    owner_->CommitAll();
    RecordAbsences();
  }

  // The oldest worker announces that it leaves, and another one comes.
  void ReplaceWorker() {
    SimulatedWorker& it = workers_.at("w" + std::to_string(next_leaving_++));
    it.info.draining = true;
    it.gone_at = owner_->now + kDrainTime;
    owner_->dispatcher.UpdateWorker(it.info, owner_->now);
    AddWorker();
    owner_->dispatcher.UpdateWorker(workers_.rbegin()->second.info, owner_->now);
  }

  void TakeOver(bool inherited = true) {
    const DurableState durable = owner_ ? owner_->durable : DurableState{};
    const TimePoint start = owner_ ? owner_->now + kTakeoverGap : TimePoint(std::chrono::hours(1));
    owner_ = std::make_unique<Scenario>(++epoch_, DispatchLimits{}, start);
    owner_->Inherit(durable);
    owner_->dispatcher.AddJob(job_, {}, inherited);
    for (const auto& [id, it] : workers_) {
      if (it.gone_at > owner_->now) owner_->dispatcher.UpdateWorker(it.info, owner_->now);
    }
  }

  Duration LongestAbsence() const { return longest_absence_; }
  bool RanTwice() const { return ran_twice_; }

 private:
  static constexpr int kWorkers = 8;
  static constexpr int kTasks = 16;
  static constexpr Duration kStep = milliseconds(50);
  static constexpr Duration kDrainTime = seconds(4);
  static constexpr Duration kTakeoverGap = milliseconds(200);

  void AddWorker() {
    // Keys sort by age.
    const std::string id = "w" + std::to_string(next_worker_++);
    workers_[id].info = MakeWorker(id, 4000);
  }

  Answer AnswerOf(SimulatedWorker* worker, int64_t epoch) {
    if (worker->gone_at <= owner_->now) return {OrderStatus::kNoAnswer, 0, 0};
    if (epoch < worker->epoch) return {OrderStatus::kStaleEpoch, owner_->ClockMs(), 1};
    worker->epoch = epoch;
    return owner_->Accepted();
  }

  void Deliver(const Orders& orders) {
    Dispatcher& dispatcher = owner_->dispatcher;
    for (const StartOrder& it : orders.starts) {
      SimulatedWorker& worker = workers_.at(it.to.worker);
      const Answer answer = AnswerOf(&worker, it.epoch);
      if (answer.status == OrderStatus::kAccepted) worker.active.insert(it.run);
      dispatcher.OnStarted(it, answer, owner_->now);
    }
    for (const StopOrder& it : orders.stops) {
      SimulatedWorker& worker = workers_.at(it.to.worker);
      const Answer answer = AnswerOf(&worker, it.epoch);
      if (answer.status == OrderStatus::kAccepted && worker.active.erase(it.run) > 0) {
        const auto sequence = static_cast<int64_t>(worker.ended.size()) + 1;
        worker.ended.push_back(End(sequence, it.run, EndKind::kStopped));
      }
      dispatcher.OnStopped(it, answer, owner_->now);
    }
    for (const HeartbeatOrder& it : orders.heartbeats) {
      SimulatedWorker& worker = workers_.at(it.to.worker);
      Report report;
      report.answer = AnswerOf(&worker, it.epoch);
      if (report.answer.status == OrderStatus::kAccepted) {
        for (const RunId& run : worker.active) report.active.push_back({run, "", 100, 0});
        for (const EndedRun& end : worker.ended) {
          if (end.sequence > it.acknowledged) report.ended.push_back(end);
        }
      }
      dispatcher.OnReport(it, report, owner_->now, owner_->WallMs());
    }
  }

  void RecordAbsences() {
    std::map<jobs::TaskId, int> runs;
    for (const auto& [id, it] : workers_) {
      for (const RunId& run : it.active) runs[run.task] += 1;
    }
    for (int n = 0; n < kTasks; ++n) {
      const jobs::TaskId task{kJob, 0, 0, n};
      ran_twice_ = ran_twice_ || runs[task] > 1;
      if (runs[task] > 0) seen_at_[n] = owner_->now;
      if (seen_at_.count(n) == 0) continue;
      longest_absence_ = std::max<Duration>(longest_absence_, owner_->now - seen_at_[n]);
    }
  }

  jobs::Job job_;
  int64_t epoch_ = 0;
  int next_worker_ = 100;
  int next_leaving_ = 100;
  std::map<std::string, SimulatedWorker> workers_;
  std::unique_ptr<Scenario> owner_;
  std::map<int, TimePoint> seen_at_;
  Duration longest_absence_{};
  bool ran_twice_ = false;
};

// Guards against perpetual tasks that stay away during a rolling restart while workers leave: each
// new owner waited anew for workers that an earlier one had already emptied.
TEST(HandoverTest, PerpetualTasksKeepRunningWhileWorkersLeaveAndOwnersChange) {
  constexpr Duration kAllowedAbsence = seconds(3);
  constexpr int kSteps = 600;
  SimulatedPool pool;
  for (int n = 0; n < kSteps; ++n) {
    pool.Step();
    if (n % 120 == 119) pool.TakeOver();
    if (n >= 60 && n < 500 && n % 14 == 0) pool.ReplaceWorker();
  }
  EXPECT_LT(pool.LongestAbsence(), kAllowedAbsence);
  EXPECT_FALSE(pool.RanTwice());
}

}  // namespace
}  // namespace pomelopond::dispatch
