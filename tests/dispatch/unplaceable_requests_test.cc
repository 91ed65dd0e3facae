#include "dispatch/unplaceable_requests.h"

#include <gtest/gtest.h>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

JobEntry EntryOf(const std::string& id, const jobs::Step& step) {
  return MakeEntry(MakeJob(id, {step}), {}, false);
}

// Guards against skipping tasks that are smaller than the one that could not be placed.
TEST(RefusedNeedsTest, OnlyEqualAndLargerTasksAreRefused) {
  const JobEntry entry = EntryOf("a", MakeStep(1, 4000));
  UnplaceableRequests unplaceable;
  RecordUnplaceable(&unplaceable, entry, entry.job.steps[0]);
  EXPECT_TRUE(IsUnplaceable(unplaceable, entry, MakeStep(1, 4000)));
  EXPECT_TRUE(IsUnplaceable(unplaceable, entry, MakeStep(1, 5000)));
  EXPECT_FALSE(IsUnplaceable(unplaceable, entry, MakeStep(1, 3000)));
}

// Guards against skipping a task of another class: it may use other workers or preempt other runs.
TEST(RefusedNeedsTest, OtherClassesAreNotRefused) {
  const JobEntry entry = EntryOf("a", MakeStep(1, 4000));
  UnplaceableRequests unplaceable;
  RecordUnplaceable(&unplaceable, entry, entry.job.steps[0]);
  jobs::Step other = MakeStep(1, 4000);
  other.required_label = "label";
  EXPECT_FALSE(IsUnplaceable(unplaceable, entry, other));
  other = MakeStep(1, 4000);
  other.best_effort = true;
  EXPECT_FALSE(IsUnplaceable(unplaceable, entry, other));
  other = MakeStep(1, 4000);
  other.perpetual = true;
  EXPECT_FALSE(IsUnplaceable(unplaceable, entry, other));
  JobEntry urgent = EntryOf("b", MakeStep(1, 4000));
  urgent.job.rules.priority = -1;
  EXPECT_FALSE(IsUnplaceable(unplaceable, urgent, urgent.job.steps[0]));
}

// Guards against a per-worker limit of one step that keeps other steps from free capacity.
TEST(RefusedNeedsTest, StepWithALimitOfItsOwnSaysNothingAboutOthers) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1", 4000)});
  jobs::Step limited = MakeStep(3);
  limited.max_per_worker = 1;
  it.dispatcher.AddJob(MakeJob("00000000000000aa", {limited}), {}, false);
  it.dispatcher.AddJob(MakeJob("00000000000000bb", {MakeStep(3)}), {}, false);
  it.Decide();
  EXPECT_EQ(it.orders.starts.size(), 4U);
}

// Guards against waiting tasks that are never placed because no run ends. Here the only worker
// accepts tasks again after a backoff.
TEST(RefusedNeedsTest, WaitingTasksAreTriedAgainWithoutAnEnd) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1", 4000)});
  it.dispatcher.AddJob(MakeJob("00000000000000aa", {MakeStep(1)}), {}, false);
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  Answer refusal = it.Accepted();
  refusal.status = OrderStatus::kNoCapacity;
  it.dispatcher.OnStarted(it.orders.starts.front(), refusal, it.now);
  it.Decide();
  EXPECT_TRUE(it.orders.starts.empty());
  it.Advance(std::chrono::milliseconds(400));
  it.Decide();
  EXPECT_EQ(it.orders.starts.size(), 1U);
}

}  // namespace
}  // namespace pomelopond::dispatch
