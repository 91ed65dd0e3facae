#include <gtest/gtest.h>

#include <set>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";

WorkerInfo MakeWorkerOnRack(const std::string& id, const std::string& rack, int64_t cpu_milli) {
  WorkerInfo worker = MakeWorker(id, cpu_milli);
  worker.rack = rack;
  return worker;
}

jobs::Step GangStep(int replicas, int64_t cpu_milli) {
  jobs::Step step = MakeStep(replicas, cpu_milli);
  step.gang = true;
  step.estimate_ms = 1000;
  return step;
}

// A gang of `replicas` tasks of 4 cores that prefers one rack, with time to spare.
jobs::Job SameRackJob(int replicas) {
  jobs::Step step = GangStep(replicas, 4000);
  step.same_rack = true;
  jobs::Job job = MakeJob(kJob, {step});
  job.rules.stretch = 2;
  job.accepted_ms = kWallStart;
  return job;
}

std::set<std::string> StartedWorkers(const Scenario& it) {
  std::set<std::string> workers;
  for (const StartOrder& order : it.orders.starts) workers.insert(order.to.worker);
  return workers;
}

// Guards against members that reserve capacity while they wait for others that cannot be placed.
TEST(GangTest, StartsOnlyWhenAllMembersFindRoom) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1", 4000), MakeWorker("w2", 4000)});
  it.dispatcher.AddJob(MakeJob(kJob, {GangStep(3, 4000)}), {}, false);
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.AddWorkers({MakeWorker("w3", 4000)});
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 3U);
  for (const StartOrder& order : it.orders.starts) EXPECT_EQ(order.run.run, 1);
}

// Guards against a gang that is placed on the rack of the emptiest worker, where it does not fit,
// or on several racks although another rack can run all members.
TEST(GangTest, TakesTheRackThatHoldsAllMembers) {
  Scenario it;
  it.AddWorkers({MakeWorkerOnRack("w1", "a", 6000), MakeWorkerOnRack("w2", "b", 5000),
                 MakeWorkerOnRack("w3", "b", 5000)});
  it.dispatcher.AddJob(SameRackJob(2), {}, false);
  it.Decide();
  EXPECT_EQ(StartedWorkers(it), (std::set<std::string>{"w2", "w3"}));
}

// Guards against a gang that is slowed down by spreading over racks although it could have waited.
TEST(GangTest, WaitsForARackWhileItCanBeOnTime) {
  Scenario it;
  it.AddWorkers({MakeWorkerOnRack("w1", "a", 4000), MakeWorkerOnRack("w2", "a", 4000),
                 MakeWorkerOnRack("w3", "b", 4000)});
  it.dispatcher.AddJob(MakeJob("00000000000000bb", {MakeStep(1, 4000)}), {}, false);
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  ASSERT_EQ(it.orders.starts[0].to.worker, "w1");
  it.dispatcher.AddJob(SameRackJob(2), {}, false);
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
}

// Guards against a gang that waits forever for a rack that cannot run it.
TEST(GangTest, SpreadsWhenNoRackCouldHoldIt) {
  Scenario it;
  it.AddWorkers({MakeWorkerOnRack("w1", "a", 4000), MakeWorkerOnRack("w2", "b", 4000)});
  it.dispatcher.AddJob(SameRackJob(2), {}, false);
  it.Decide();
  EXPECT_EQ(StartedWorkers(it), (std::set<std::string>{"w1", "w2"}));
}

}  // namespace
}  // namespace pomelopond::dispatch
