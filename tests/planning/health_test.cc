#include "planning/health.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <random>

namespace pomelopond::planning {
namespace {

TimePoint At(int64_t seconds) { return TimePoint{} + std::chrono::seconds(seconds); }

std::string Id(const char* name, int64_t n) { return name + std::to_string(n); }

// Guards against a worker that fails every task it starts and still receives tasks.
TEST(HealthTest, WorkerThatFailsThreeTasksIsQuarantined) {
  HealthTable table;
  AddFailure(&table, "w", "a/0", At(1));
  AddFailure(&table, "w", "b/0", At(2));
  AddFailure(&table, "w", "b/0", At(3));  // another failure of the same task is no new evidence
  EXPECT_TRUE(MayGrant(table, "w"));
  AddFailure(&table, "w", "c/0", At(4));
  EXPECT_EQ(HealthOf(table, "w"), WorkerHealth::kQuarantined);
  EXPECT_FALSE(MayGrant(table, "w"));
  EXPECT_FALSE(CountsAgainstTask(table, "w"));
}

// Guards against quarantining workers because of tasks that fail on all workers.
TEST(HealthTest, BadTasksQuarantineNoWorker) {
  HealthTable table;
  for (int64_t task = 0; task < 10; ++task) {
    for (int64_t worker = 0; worker < 4; ++worker) {
      AddFailure(&table, Id("w", worker), Id("bad", task) + "/0", At(task));
    }
  }
  for (int64_t worker = 0; worker < 4; ++worker) EXPECT_TRUE(MayGrant(table, Id("w", worker)));
  EXPECT_TRUE(IsBadTask(table, "bad0/0"));
}

// Guards against a job whose tasks all fail, each on another worker, putting all workers into
// quarantine.
TEST(HealthTest, BadJobQuarantinesNoWorker) {
  HealthTable table;
  for (int64_t n = 0; n < 40; ++n) AddFailure(&table, Id("w", n % 8), Id("bad/", n), At(n));
  for (int64_t worker = 0; worker < 8; ++worker) EXPECT_TRUE(MayGrant(table, Id("w", worker)));
}

// Guards against a worker that stays quarantined after its tasks turned out to be at fault.
TEST(HealthTest, WorkerIsClearedWhenItsTasksFailElsewhere) {
  HealthTable table;
  for (const char* it : {"a/0", "b/0", "c/0"}) AddFailure(&table, "w", it, At(1));
  ASSERT_FALSE(MayGrant(table, "w"));
  AddFailure(&table, "v", "a/0", At(2));
  EXPECT_TRUE(MayGrant(table, "w"));
}

// Guards against treating a task as faulty because it ran on faulty workers.
TEST(HealthTest, TaskIsNotBlamedForBadWorkers) {
  HealthTable table;
  for (int64_t worker = 0; worker < 3; ++worker) {
    for (int64_t n = 0; n < 3; ++n) {
      AddFailure(&table, Id("w", worker), Id("job", worker * 3 + n) + "/0", At(n));
    }
    AddFailure(&table, Id("w", worker), "victim/0", At(5));
  }
  EXPECT_FALSE(IsBadTask(table, "victim/0"));
  EXPECT_EQ(BackoffOf(table, "victim/0", 3, 0), Duration::zero());
}

// Guards against a quarantine that never ends, and against giving a faulty worker more than one
// task as a probe.
TEST(HealthTest, OneProbeDecidesAfterTheRest) {
  HealthTable table;
  for (const char* it : {"a/0", "b/0", "c/0"}) AddFailure(&table, "w", it, At(0));
  Advance(&table, At(59));
  EXPECT_FALSE(MayGrant(table, "w"));
  Advance(&table, At(60));
  ASSERT_TRUE(MayGrant(table, "w"));
  AddGrant(&table, "w", "d/0");
  EXPECT_FALSE(MayGrant(table, "w"));
  AddFailure(&table, "w", "d/0", At(61));
  Advance(&table, At(61 + 119));
  EXPECT_FALSE(MayGrant(table, "w"));
  Advance(&table, At(61 + 120));
  AddGrant(&table, "w", "e/0");
  AddSuccess(&table, "w", "e/0");
  EXPECT_EQ(HealthOf(table, "w"), WorkerHealth::kHealthy);
  EXPECT_TRUE(MayGrant(table, "w"));
}

// Guards against a worker that waits forever for the outcome of a probe that was stopped, and
// against a probe that is itself a faulty task.
TEST(HealthTest, ProbeWithoutAVerdictIsReplaced) {
  HealthTable table;
  for (const char* it : {"a/0", "b/0", "c/0"}) AddFailure(&table, "w", it, At(0));
  Advance(&table, At(60));
  AddGrant(&table, "w", "d/0");
  AddStop(&table, "w", "d/0");
  EXPECT_TRUE(MayGrant(table, "w"));
  AddFailure(&table, "v", "bad/0", At(61));
  AddGrant(&table, "w", "bad/0");
  AddFailure(&table, "w", "bad/0", At(62));
  EXPECT_TRUE(MayGrant(table, "w"));
}

// Guards against a faulty task that is retried without a delay, and against delays without an upper
// bound.
TEST(HealthTest, BadTaskBacksOffExponentially) {
  HealthTable table;
  AddFailure(&table, "u", "bad/0", At(0));
  AddFailure(&table, "v", "bad/0", At(1));
  EXPECT_EQ(BackoffOf(table, "bad/0", 2, 0.5), Duration::zero());
  AddFailure(&table, "w", "bad/0", At(2));
  EXPECT_EQ(BackoffOf(table, "bad/0", 3, 0), std::chrono::seconds(10));
  EXPECT_EQ(BackoffOf(table, "bad/0", 4, 0), std::chrono::seconds(20));
  EXPECT_EQ(BackoffOf(table, "bad/0", 5, 0.5), std::chrono::seconds(50));
  EXPECT_EQ(BackoffOf(table, "bad/0", 1000, 0), kMaxBackoff);
  EXPECT_EQ(FailedOn(table, "bad/0").size(), 3u);
}

// Guards against failures that accumulate over days.
TEST(HealthTest, OldEvidenceIsDropped) {
  HealthTable table;
  AddFailure(&table, "w", "a/0", At(0));
  AddFailure(&table, "w", "b/0", At(1));
  Advance(&table, At(3600));
  AddFailure(&table, "w", "c/0", At(3601));
  EXPECT_TRUE(MayGrant(table, "w"));
  Advance(&table, At(7300));
  EXPECT_TRUE(table.workers.empty());
  EXPECT_TRUE(table.tasks.empty());
  EXPECT_TRUE(table.jobs.empty());
}

// Guards against attributing failures to the wrong side under any mix of faults: workers that fail
// every task end up quarantined, and healthy workers are usable once the faulty tasks have failed
// on several workers.
TEST(HealthTest, BlameFallsOnTheFaultySide) {
  ASSERT_TRUE(rc::check("blame", [] {
    // A size-dependent generator would restrict the early cases to one worker and one job.
    std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
    const auto draw = [&random](uint64_t count) { return static_cast<int64_t>(random() % count); };
    const int64_t workers = 6 + draw(6);
    const int64_t bad_jobs = draw(4);
    HealthTable table;
    for (int64_t n = 0; n < 400; ++n) {
      const int64_t worker = draw(workers);
      const int64_t job = draw(30);
      const std::string task = Id("job", job) + Id("/", draw(3));
      const bool fails = worker == 0 || job < bad_jobs;
      if (!MayGrant(table, Id("w", worker))) continue;
      AddGrant(&table, Id("w", worker), task);
      if (fails) AddFailure(&table, Id("w", worker), task, At(n / 100));
      if (!fails) AddSuccess(&table, Id("w", worker), task);
    }
    RC_ASSERT(!MayGrant(table, "w0"));
    for (int64_t n = 1; n < workers; ++n) RC_ASSERT(MayGrant(table, Id("w", n)));
  }));
}

}  // namespace
}  // namespace pomelopond::planning
