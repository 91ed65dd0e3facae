// The memory that jobs take in an owner, and the mark of a full pool.
#include "dispatch/job_memory.h"

#include <gtest/gtest.h>
#include <malloc.h>

#include <random>

#include "jobs/job_size.h"
#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr int64_t kValueBytes = 1048576;

#ifndef __SANITIZE_ADDRESS__
// The sanitizer's allocator does not count for mallinfo2().
jobs::Job DrawJob(std::mt19937_64* random, int n) {
  const auto between = [random](int low, int high) {
    return std::uniform_int_distribution<>(low, high)(*random);
  };
  std::vector<jobs::Step> steps;
  for (int s = between(1, 5); s > 0; --s) {
    steps.push_back(MakeStep(between(1, 4) == 1 ? between(200, 3000) : between(1, 40)));
    steps.back().checkpoint = between(0, 2) == 0;
    steps.back().image.assign(static_cast<size_t>(between(0, 60)), 'i');
  }
  jobs::Job job = MakeJob("job-" + std::to_string(n), steps);
  job.spec.assign(static_cast<size_t>(between(0, 4000)), 's');
  job.rules.max_attempts = between(1, 5);
  if (between(0, 2) == 0) {
    job.occurrences = between(1, 20);
    job.interval_ms = 1;
  }
  return job;
}

// Guards against an owner that takes more memory than its host has, as the weight by which jobs are
// accepted is too low (review/8).
TEST(JobMemoryTest, WeightCoversWhatAJobTakes) {
  std::mt19937_64 random(8);
  for (int n = 0; n < 60; ++n) {
    const jobs::Job job = DrawJob(&random, n);
    const auto before = static_cast<int64_t>(mallinfo2().uordblks + mallinfo2().hblkhd);
    Scenario owner;
    owner.dispatcher.AddJob(job, {}, false);
    owner.AddWorkers({MakeWorker("w1", 1000)});
    // As many tasks as may be under way fail once and leave a checkpoint.
    const int64_t most = jobs::MaxTasksUnderWay(job, kValueBytes);
    std::vector<EndedRun> ends;
    for (int k = 0; k < jobs::MaxOpenOccurrences(job); ++k) {
      for (int s = 0; s < static_cast<int>(job.steps.size()); ++s) {
        for (int i = 0; i < job.steps[static_cast<size_t>(s)].replicas; ++i) {
          const auto sequence = static_cast<int64_t>(ends.size()) + 1;
          if (sequence > most) continue;
          ends.push_back({sequence,
                          {{job.id, k, s, i}, 1},
                          job.rules.max_attempts > 1 ? EndKind::kFailed : EndKind::kStopped,
                          std::string(jobs::kMaxCheckpointBytes, 'c')});
        }
      }
    }
    owner.Report("w1", {}, ends);
    ends = {};
    ends.shrink_to_fit();
    const int64_t taken = static_cast<int64_t>(mallinfo2().uordblks + mallinfo2().hblkhd) - before;
    // The worker and the dispatcher itself take some more.
    EXPECT_LE(taken, MaxMemoryBytes(job, kValueBytes) + 20000) << n;
  }
}
#endif

class FullPoolTest : public ::testing::Test {
 protected:
  static DispatchLimits Limits(int64_t job_memory_bytes) {
    DispatchLimits limits;
    limits.job_memory_bytes = job_memory_bytes;
    return limits;
  }

  // Returns the mark of the next commits, if they change it.
  std::optional<bool> NextMark() {
    owner_.Advance(std::chrono::seconds(1));
    std::optional<bool> mark;
    while (const auto commit = owner_.dispatcher.NextCommit(owner_.now, owner_.WallMs())) {
      if (commit->pool_full) mark = commit->pool_full;
      owner_.dispatcher.OnCommitted(*commit);
    }
    return mark;
  }

  const jobs::Job job_ = MakeJob("job", {MakeStep(20)});
  const int64_t bytes_ = MaxMemoryBytes(job_, kValueBytes);
  Scenario owner_{1, Limits(bytes_ * 50)};
};

// Guards against a pool that goes on to accept jobs beyond its memory, and against one that accepts
// none any more although most of them are finished.
TEST_F(FullPoolTest, MarkFollowsTheSumOfJobsThatAreNotFinished) {
  EXPECT_EQ(NextMark(), std::optional<bool>(false));
  for (int n = 0; n < 50; ++n) {
    jobs::Job job = job_;
    job.id = "j" + std::to_string(n);
    owner_.dispatcher.AddJob(job, {}, false);
  }
  EXPECT_EQ(NextMark(), std::nullopt);
  owner_.dispatcher.AddJob(job_, {}, false);
  EXPECT_EQ(NextMark(), std::optional<bool>(true));
  owner_.dispatcher.CancelJob("job", owner_.WallMs());
  EXPECT_EQ(NextMark(), std::nullopt);
  for (int n = 0; n < 5; ++n) owner_.dispatcher.CancelJob("j" + std::to_string(n), owner_.WallMs());
  EXPECT_EQ(NextMark(), std::optional<bool>(false));
}

// Guards against a mark of an earlier owner that stays although its reason is gone, and against
// jobs that a new owner drops since they take more than they may.
TEST_F(FullPoolTest, NewOwnerWritesTheMarkAnew) {
  Scenario next(2, Limits(bytes_ * 2));
  for (const char* id : {"a", "b", "c"}) {
    jobs::Job job = job_;
    job.id = id;
    next.dispatcher.AddJob(job, {}, true);
  }
  next.Advance(std::chrono::seconds(1));
  const auto commit = next.dispatcher.NextCommit(next.now, next.WallMs());
  ASSERT_TRUE(commit);
  EXPECT_EQ(commit->pool_full, std::optional<bool>(true));
  EXPECT_NE(next.dispatcher.FindJob("c"), nullptr);
}

}  // namespace
}  // namespace pomelopond::dispatch
