#include "dispatch/order.h"

#include <gtest/gtest.h>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr int64_t kAccepted = 1000000;

// A job of two steps of 1 s each, with an objective of 4.5 s.
JobEntry MakeOrdered(const std::string& id, int64_t accepted_ms) {
  jobs::Step first = MakeStep(1);
  first.estimate_ms = 1000;
  jobs::Step second = first;
  second.after = {0};
  jobs::Job job = MakeJob(id, {first, second});
  job.rules.stretch = 2;
  job.rules.target_duration_ms = 500;
  job.accepted_ms = accepted_ms;
  return MakeEntry(job, {}, false, TimePoint{});
}

TEST(OrderTest, ObjectiveIsTheStretchedChainAndMore) {
  const JobEntry entry = MakeOrdered("a", kAccepted);
  EXPECT_EQ(RemainingChainMs({}, entry), 2000);
  EXPECT_EQ(ObjectiveMs({}, entry), 4500);
}

// Guards against a queue in which every job is late because the oldest ones, which are late
// already, get all the room.
TEST(OrderTest, JobsThatCanBeOnTimeComeBeforeOlderOnesThatCannot) {
  const JobEntry late = MakeOrdered("a", kAccepted);
  const JobEntry fresh = MakeOrdered("b", kAccepted + 3000);
  const int64_t now = kAccepted + 3000;
  EXPECT_EQ(ProspectOf(EstimatesOf({}, late), late, now), Prospect::kLate);
  EXPECT_EQ(ProspectOf(EstimatesOf({}, fresh), fresh, now), Prospect::kOnTime);
  EXPECT_LT(RankOf(EstimatesOf({}, fresh), fresh, now), RankOf(EstimatesOf({}, late), late, now));
}

// Guards against work that is begun and then left behind newer jobs.
TEST(OrderTest, BegunJobsComeBeforeOthersWithTheSameProspect) {
  const JobEntry older = MakeOrdered("a", kAccepted);
  JobEntry begun = MakeOrdered("b", kAccepted + 10);
  begun.state = jobs::JobState::kRunning;
  EXPECT_LT(RankOf(EstimatesOf({}, begun), begun, kAccepted + 20),
            RankOf(EstimatesOf({}, older), older, kAccepted + 20));
}

TEST(OrderTest, PriorityComesFirst) {
  const JobEntry urgent = MakeOrdered("a", kAccepted);
  JobEntry other = MakeOrdered("b", kAccepted + 60000);
  other.job.rules.priority = 1;
  EXPECT_LT(RankOf(EstimatesOf({}, urgent), urgent, kAccepted + 60000),
            RankOf(EstimatesOf({}, other), other, kAccepted + 60000));
}

TEST(OrderTest, PerpetualJobsAreNeverTooLate) {
  JobEntry entry = MakeOrdered("a", kAccepted);
  entry.job.steps[0].perpetual = true;
  EXPECT_EQ(ProspectOf(EstimatesOf({}, entry), entry, kAccepted + 3600000), Prospect::kOnTime);
}

// Guards against estimates that are far off for all tasks of an image.
TEST(OrderTest, DurationsFollowWhatTasksOfTheImageTook) {
  jobs::Step step = MakeStep(1);
  step.estimate_ms = 1000;
  step.image = "slow";
  DurationModel model;
  for (int n = 0; n < 50; ++n) LearnDuration(&model, step, 3000);
  EXPECT_NEAR(ExpectedMs(model, step), 3000, 1);
  step.image = "other";
  EXPECT_EQ(ExpectedMs(model, step), 1000);
}

}  // namespace
}  // namespace pomelopond::dispatch
