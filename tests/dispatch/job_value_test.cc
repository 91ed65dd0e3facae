#include "dispatch/job_value.h"

#include <gtest/gtest.h>

#include "dispatch/job_rank.h"
#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr int64_t kAccepted = 1000000;
constexpr double kMeanWork = 4000;

// A job of one step of 1 s with an objective of 3 s, which is not ordered by age.
JobEntry MakeJobEntry(int replicas, int64_t accepted_ms) {
  jobs::Step step = MakeStep(replicas);
  step.estimate_ms = 1000;
  std::string id = "a";
  while (IsOrderedByAge(id)) id += "a";
  jobs::Job job = MakeJob(id, {step});
  job.rules.stretch = 2;
  job.rules.target_duration_ms = 1000;
  job.accepted_ms = accepted_ms;
  return MakeEntry(job, {}, false);
}

TurnRank RankAt(const JobEntry& entry, int64_t wall_ms) {
  return RankOf(EstimatesOf({}, entry, kMeanWork, kUnlimitedRoom), entry, wall_ms);
}

// Guards against large jobs that displace many small ones.
TEST(JobValueTest, SmallJobsComeBeforeLargeOnes) {
  const JobEntry small = MakeJobEntry(1, kAccepted);
  const JobEntry large = MakeJobEntry(100, kAccepted + 100);
  EXPECT_LT(RankAt(small, kAccepted + 100), RankAt(large, kAccepted + 100));
}

// Guards against an order by age within a class under overload, in which each job starts just when
// any further delay makes it late; and against begun jobs that are held up by newer ones.
TEST(JobValueTest, NewestPendingAndOldestBegunJobsOfAClassComeFirst) {
  JobEntry older = MakeJobEntry(4, kAccepted);
  JobEntry newer = MakeJobEntry(4, kAccepted + 300);
  EXPECT_LT(RankAt(newer, kAccepted + 400), RankAt(older, kAccepted + 400));
  EXPECT_LT(RankAt(newer, kAccepted + 700), RankAt(older, kAccepted + 700));
  older.state = jobs::JobState::kRunning;
  newer.state = jobs::JobState::kRunning;
  EXPECT_LT(RankAt(older, kAccepted + 400), RankAt(newer, kAccepted + 400));
}

// Guards against a deadline that does not count: a job that can still be on time comes before a
// smaller one that can't.
TEST(JobValueTest, JobsThatCanBeOnTimeComeBeforeSmallerLateOnes) {
  const JobEntry late = MakeJobEntry(1, kAccepted);
  const JobEntry on_time = MakeJobEntry(100, kAccepted + 3000);
  EXPECT_LT(RankAt(on_time, kAccepted + 3000), RankAt(late, kAccepted + 3000));
}

// Guards against room for a job that is too wide for it to be on time.
TEST(JobValueTest, StepWiderThanTheRoomRunsInWaves) {
  const JobEntry wide = MakeJobEntry(100, kAccepted);
  const auto lateness = [&wide](int64_t room) {
    return LatenessOf(EstimatesOf({}, wide, kMeanWork, room), wide, kAccepted);
  };
  EXPECT_EQ(lateness(100000), Lateness::kOnTime);
  EXPECT_EQ(lateness(20000), Lateness::kLate);
  EXPECT_EQ(lateness(1000), Lateness::kTooLate);
}

}  // namespace
}  // namespace pomelopond::dispatch
