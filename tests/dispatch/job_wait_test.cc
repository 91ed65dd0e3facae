#include "dispatch/job_wait.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char kJob[] = "0000000000001000";
const char kLaterJob[] = "0000000000001001";

// Guards against tasks that are counted as ready while they run or wait for an earlier step.
TEST(JobWaitTest, ReadyTasksAreThoseWithoutARunWhoseTurnHasCome) {
  jobs::Step second = MakeStep(4);
  second.after = {0};
  JobEntry entry = MakeEntry(MakeJob(kJob, {MakeStep(3), second}), {}, false);
  EXPECT_EQ(CountReadyTasks(entry, kWallStart), 3);
  EXPECT_EQ(FirstReadyTask(entry, kWallStart), (jobs::TaskId{kJob, 0, 0, 0}));
  StepState& first = entry.open.at(0)[0];
  first.tasks[0].progress.done = true;
  first.tasks[1].runs.push_back({1, "w1"});
  first.done = 1;
  first.waiting = 1;
  EXPECT_EQ(CountReadyTasks(entry, kWallStart), 1);
  EXPECT_EQ(FirstReadyTask(entry, kWallStart), (jobs::TaskId{kJob, 0, 0, 2}));
  first.done = 3;
  first.waiting = 0;
  EXPECT_EQ(CountReadyTasks(entry, kWallStart), 4);
  EXPECT_EQ(FirstReadyTask(entry, kWallStart), (jobs::TaskId{kJob, 0, 1, 0}));
}

// Guards against a job that counts as served by a start without an answer, or as at work while its
// only run is being stopped.
TEST(JobWaitTest, JobIsServedFromTheConfirmedStartToTheReportedEnd) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1", 1000)});
  jobs::Step step = MakeStep(1);
  step.checkpoint = true;
  it.dispatcher.AddJob(MakeJob(kJob, {step}), {}, false);
  const JobEntry& entry = *it.dispatcher.FindJob(kJob);
  it.Decide();
  const RunId run = it.orders.starts.at(0).run;
  EXPECT_FALSE(IsServed(entry) || IsHeldUp(entry));
  it.ConfirmStarts();
  EXPECT_TRUE(IsServed(entry) && !IsHeldUp(entry));
  WorkerInfo draining = MakeWorker("w1", 1000);
  draining.draining = true;
  it.dispatcher.UpdateWorker(draining, it.now);
  it.Decide();
  EXPECT_TRUE(!IsServed(entry) && IsHeldUp(entry));
  it.Report("w1", {}, {End(1, run, EndKind::kStopped)});
  EXPECT_FALSE(IsServed(entry) || IsHeldUp(entry));
}

// Guards against a share that depends on the interval of the samples.
TEST(JobWaitTest, UnservedShareIsTheSameForOneSampleAndForManyOfTheSameTime) {
  JobEntry once = MakeEntry(MakeJob(kJob, {MakeStep(1)}), {}, false);
  JobEntry often = once;
  UpdateUnservedShare(&once, seconds(3), kWallStart);
  for (int n = 0; n < 30; ++n) UpdateUnservedShare(&often, milliseconds(100), kWallStart);
  EXPECT_NEAR(once.unserved_share, 0.632, 0.001);  // 1 - 1/e
  EXPECT_NEAR(often.unserved_share, once.unserved_share, 1e-9);
  once.open.at(0)[0].waiting = 0;  // nothing waits for a run any more
  UpdateUnservedShare(&once, seconds(3), kWallStart);
  EXPECT_NEAR(once.unserved_share, 0.632 * 0.368, 0.001);
}

// Guards against log lines that leave out the job that waits most, or miscount the workers.
TEST(JobWaitTest, TheJobThatWaitsMostIsExplainedFirst) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1"), MakeWorker("w2"), MakeWorker("w3")});
  it.TimeOut("w3");
  // Too large for each worker. The ids are in the other order.
  it.dispatcher.AddJob(MakeJob(kLaterJob, {MakeStep(2, 20000)}), {}, false);
  for (int n = 0; n < 40; ++n) {
    it.Advance(milliseconds(100));
    it.Decide();
    if (n == 20) it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1, 20000)}), {}, false);
  }
  const std::vector<JobWait> waits = it.dispatcher.ExplainWaits(it.now, kWallStart);
  ASSERT_EQ(waits.size(), 2U);
  EXPECT_EQ(waits[0].job, kLaterJob);
  EXPECT_EQ(waits[0].ready_tasks, 2);
  EXPECT_EQ(waits[1].job, kJob);
  EXPECT_GT(waits[0].unserved_share, waits[1].unserved_share);
  const std::map<Obstacle, int> expected = {{Obstacle::kUnavailable, 1},
                                            {Obstacle::kReservation, 2}};
  EXPECT_EQ(waits[0].obstacles, expected);
}

// A worker that accepts tasks and runs `step`, with the tail `tail_ms` if it has a target.
WorkerState WorkerWith(const jobs::Step& step, int64_t tail_ms = 0) {
  WorkerState worker;
  worker.info = MakeWorker("w1");
  worker.registered = worker.recorded = worker.contacted = true;
  const RunId id{{kJob, 0, 0, 0}, 1};
  AddRun(&worker, id, step, 0, {});
  RunState& run = worker.runs.at(id);
  run.phase = RunPhase::kRunning;
  run.progress.percent = 100;
  RecordLoad(&worker, &run, tail_ms);
  return worker;
}

// Guards against a worker that is counted under another obstacle than the first that holds.
TEST(JobWaitTest, WorkersAreCountedByWhatKeepsTheTaskOffThem) {
  const jobs::Step small = MakeStep(1, 1000);
  jobs::Step service = small;
  service.target_tail_ms = 100;
  service.image = "service";
  jobs::Step memory = small;
  memory.request.memory_mb = 64000;
  jobs::Step batch = MakeStep(1, 12000);
  batch.best_effort = true;
  batch.image = "batch";
  std::map<std::string, WorkerState> workers = {
      {"free", WorkerWith(small)},        {"silent", WorkerWith(small)},
      {"suspect", WorkerWith(small)},     {"elsewhere", WorkerWith(small)},
      {"reserved", WorkerWith(memory)},   {"busy", WorkerWith(batch)},
      {"slow", WorkerWith(service, 100)}, {"sensitive", WorkerWith(service, 50)}};
  workers["silent"].unanswered_calls = 1;
  // Its last trial was a moment ago.
  workers["suspect"].suspect_until = TimePoint(seconds(1));
  workers["suspect"].next_trial = TimePoint(seconds(1));
  workers["elsewhere"].info.service = "other";
  ColocationModel colocation;
  colocation.baseline_tail_ms["service"] = 79;  // 12 cores lengthen it beyond 80
  PlacementRequest request;
  request.service = "pool";
  request.step = &batch;
  request.colocation = &colocation;
  std::map<Obstacle, int> expected = {{Obstacle::kExpectedTail, 1}};
  for (const Obstacle it : {Obstacle::kNone, Obstacle::kUnavailable, Obstacle::kIneligible,
                            Obstacle::kReservation, Obstacle::kProcessor, Obstacle::kTail}) {
    expected[it] = 1;
  }
  EXPECT_EQ(CountObstacles(workers, request, {}), expected);
  // A run that shares processor time and may lengthen tails.
  request.shares_processor = true;
  request.max_expected_tail = std::numeric_limits<double>::infinity();
  expected.erase(Obstacle::kProcessor);
  expected.erase(Obstacle::kExpectedTail);
  expected[Obstacle::kNone] = 3;
  EXPECT_EQ(CountObstacles(workers, request, {}), expected);
}

}  // namespace
}  // namespace pomelopond::dispatch
