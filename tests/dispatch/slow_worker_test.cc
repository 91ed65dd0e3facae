// Slow workers: what callers get while some workers are slower than others.
#include <gtest/gtest.h>

#include <string>

#include "tests/dispatch/uneven_pool.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 24;
constexpr int kSlowWorkers = 6;
constexpr double kSlowRate = 0.2;

// A quarter of the workers is slower by a factor of 5 for 20 s.
void PlaySlowDay(UnevenPool* pool) {
  pool->RunLoad(seconds(10));
  pool->SetRate(kSlowWorkers, kSlowRate);
  pool->RunLoad(seconds(20));
  pool->SetRate(kSlowWorkers, 1);
  pool->RunLoad(seconds(10));
  pool->Run(seconds(30));
}

// Guards against jobs that are late because their tasks start, and stay, on slow workers.
TEST(SlowWorkerTest, JobsAreOnTimeBesideSlowWorkers) {
  UnevenPool with(kWorkers, true);
  UnevenPool without(kWorkers, false);
  PlaySlowDay(&with);
  PlaySlowDay(&without);
  for (const std::string queue : {"interactive", "batch"}) {
    const ServedJobs served = with.Served(queue);
    std::cout << queue << " on time: " << served.on_time << " of " << served.all << ", without "
              << without.Served(queue).on_time << "\n";
    EXPECT_GE(served.on_time * 10, served.all * 8) << queue;
    EXPECT_GT(served.on_time, without.Served(queue).on_time) << queue;
  }
  EXPECT_EQ(without.stops(), 0);
}

// Guards against verdicts from tasks that are long by nature and from wrong estimates: nothing is
// stopped, and no work is done twice.
TEST(SlowWorkerTest, NothingIsThrownAwayWhileNoWorkerIsSlow) {
  UnevenPool pool(kWorkers, true);
  pool.RunLoad(seconds(60));
  EXPECT_EQ(pool.Summary().rescues.slow_verdicts, 0);
  EXPECT_EQ(pool.stops(), 0);
  EXPECT_EQ(pool.runs_of_two(), 0);
}

// Guards against a slowdown of all workers, or of one image, that is taken for that of workers.
TEST(SlowWorkerTest, SlowdownOfAllWorkersLeadsToNoRescue) {
  UnevenPool pool(kWorkers, true);
  pool.RunLoad(seconds(10));
  pool.SetRate(kWorkers, kSlowRate);
  pool.RunLoad(seconds(10));
  EXPECT_EQ(pool.Summary().rescues.resumed + pool.Summary().rescues.restarted, 0);
  EXPECT_EQ(pool.runs_of_two(), 0);
}

// Guards against a verdict that outlives its cause.
TEST(SlowWorkerTest, WorkerThatRecoversIsUsedAgain) {
  UnevenPool pool(kWorkers, true);
  pool.RunLoad(seconds(5));
  pool.SetRate(kSlowWorkers, kSlowRate);
  pool.RunLoad(seconds(10));
  EXPECT_EQ(pool.Summary().slow_workers, kSlowWorkers);
  pool.SetRate(kSlowWorkers, 1);
  pool.RunLoad(seconds(10));
  EXPECT_EQ(pool.Summary().slow_workers, 0);
  for (int n = 1; n <= kSlowWorkers; ++n) {
    const int before = pool.StartsOn(n);
    pool.RunLoad(seconds(3));
    EXPECT_GT(pool.StartsOn(n), before) << n;
  }
}

// A job with a task of 3 s on each worker, whose copies may start.
std::string SubmitSpeculative(UnevenPool* pool) {
  jobs::Step step = MakeStep(kWorkers, 3700);
  step.image = "interactive-0";
  step.speculative = true;
  step.max_per_worker = 1;
  return pool->Submit("interactive", {step}, 0, 3000, 1.5, 300);
}

// Guards against copies whose failure fails the job: the first run would have completed.
TEST(SlowWorkerTest, FailedCopyDoesNotUseUpTheAttempts) {
  for (const int attempts : {1, 2, 3}) {
    UnevenPool pool(kWorkers, true);
    pool.long_share = 0;
    pool.max_attempts = attempts;
    pool.RunLoad(seconds(5));
    pool.SetRate(kSlowWorkers, kSlowRate);
    const std::string id = SubmitSpeculative(&pool);
    // By now the tasks on the other workers are done, but not the copies.
    pool.Run(seconds(3) + milliseconds(200));
    for (int n = kSlowWorkers + 1; n <= kWorkers; ++n) pool.failing.insert("w" + std::to_string(n));
    pool.Run(seconds(30));
    EXPECT_TRUE(pool.IsCompleted(id)) << attempts;
    EXPECT_EQ(pool.Summary().rescues.copies > 0, attempts > 1);
    EXPECT_EQ(pool.Summary().rescues.copies_first, 0);
  }
}

// Guards against copies that never start, or whose end does not count: the first runs take 15 s.
TEST(SlowWorkerTest, CopiesCompleteBeforeTheFirstRuns) {
  UnevenPool pool(kWorkers, true);
  pool.long_share = 0;
  pool.RunLoad(seconds(5));
  pool.SetRate(kSlowWorkers, kSlowRate);
  const std::string id = SubmitSpeculative(&pool);
  pool.Run(seconds(8));
  EXPECT_TRUE(pool.IsCompleted(id));
  EXPECT_EQ(pool.Summary().rescues.copies_first, kSlowWorkers);
}

// Guards against perpetual tasks that stay on slow workers, or of which too many move at one time.
TEST(SlowWorkerTest, PerpetualTasksMoveWithinMaxUnavailable) {
  UnevenPool pool(kWorkers, true);
  pool.long_share = 0;
  jobs::Step step = MakeStep(kWorkers, 2000);
  step.perpetual = true;
  step.max_unavailable = 1;
  constexpr int kForever = 1000000000;
  const std::string id = pool.Submit("serving", {step}, 0, kForever, 1, 0);
  pool.RunLoad(seconds(5));
  EXPECT_GT(pool.RunsOf(id, kSlowWorkers), 0);
  pool.SetRate(kSlowWorkers, kSlowRate);
  pool.RunLoad(seconds(15));
  EXPECT_EQ(pool.RunsOf(id, kSlowWorkers), 0);
  EXPECT_EQ(pool.LeastRuns(id), kWorkers - 1);
}

// Guards against a worker that fails all that it runs and gets many tasks whenever its backoff
// ends.
TEST(SlowWorkerTest, WorkerThatFailsAllGetsSingleTrials) {
  UnevenPool pool(kWorkers, true);
  pool.long_share = 0;
  pool.failing = {"w1"};
  pool.RunLoad(seconds(5));
  const int before = pool.StartsOn(1);
  pool.RunLoad(seconds(20));
  EXPECT_LE(pool.StartsOn(1) - before, 10);
  EXPECT_GT(pool.StartsOn(1), before);
  pool.failing.clear();
  pool.RunLoad(seconds(12));
  const int recovered = pool.StartsOn(1);
  pool.RunLoad(seconds(5));
  EXPECT_GT(pool.StartsOn(1) - recovered, 5);
}

}  // namespace
}  // namespace pomelopond::dispatch
