// Acceptance of jobs by hosts that share the memory of one owner.
#include "dispatch/job_memory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "dispatch/waiting_counts.h"
#include "entry/job_service.h"
#include "entry/keys.h"
#include "entry/pool_owner.h"
#include "tests/entry/memory_store.h"
#include "tests/entry/owner_support.h"

namespace pomelopond::entry {
namespace {

constexpr int64_t kJobMemory = 10500000;
constexpr int64_t kValueBytes = 1048576;
constexpr int kHosts = 3;
constexpr int kSeeds = 150;
constexpr int kStepsPerSeed = 120;

jobs::Job MakeJob(int number, int tasks) {
  jobs::Job job = OneTask("000000000000" + std::to_string(1000 + number));
  job.steps[0].replicas = tasks;
  return job;
}

class JobMemoryTest : public ::testing::Test {
 protected:
  struct Host {
    explicit Host(MemoryStore* store)
        : service(
              OptionsOfHost(), store,
              [this](Duration, const std::function<void()>& it) { timers.push_back(it); }, &metrics,
              &health, &revisions) {}

    static JobServiceOptions OptionsOfHost() {
      JobServiceOptions options;
      options.job_memory_bytes = [] { return kJobMemory; };
      return options;
    }

    std::deque<std::function<void()>> timers;
    metrics::Registry metrics;
    StoreHealth health;
    RevisionHistory revisions;
    JobService service;
  };

  JobMemoryTest() {
    for (int n = 0; n < kHosts; ++n) hosts.push_back(std::make_unique<Host>(&store));
  }

  using Outcome = std::optional<std::error_code>;

  std::shared_ptr<Outcome> Submit(int host, const jobs::Job& job) {
    const auto outcome = std::make_shared<Outcome>();
    hosts[static_cast<size_t>(host)]->service.Submit(
        job, Now() + std::chrono::seconds(30), [outcome](std::error_code ec) { *outcome = ec; });
    return outcome;
  }

  // Memory of all stored jobs.
  int64_t Sum() {
    int64_t sum = 0;
    for (const auto& [key, it] : store.items) {
      if (key.compare(0, std::string(kJobPrefix).size(), kJobPrefix) != 0) continue;
      sum += dispatch::MaxMemoryBytes(jobs::DecodeJob(it.value).value, kValueBytes);
    }
    return sum;
  }

  // The owner writes the sum that it knew at a revision.
  void Publish(int64_t revision, int64_t sum) {
    dispatch::WaitingCounts counts;
    counts.jobs_revision = revision;
    counts.job_bytes = sum;
    store.Apply({{}, {{kWaitingKey, Encode(counts), 0}}, {}});
  }

  MemoryStore store;
  std::vector<std::unique_ptr<Host>> hosts;
};

// Guards against large jobs that are accepted at the same time or before the owner has counted the
// others, and together take more memory than a host has (review/8). The store answers late, refuses
// and loses answers, and the owner's sum is outdated.
TEST_F(JobMemoryTest, AcceptedJobsFitInAnyOrderOfEvents) {
  int accepted = 0;
  int refused = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    const auto below = [&random](int n) {
      return std::uniform_int_distribution<>(0, n - 1)(random);
    };
    store.items.clear();
    std::vector<std::shared_ptr<Outcome>> outcomes;
    std::pair<int64_t, int64_t> known{store.revision, 0};
    for (int n = 0; n < kStepsPerSeed; ++n) {
      if (below(3) == 0) store.commit_behaviors.push_back(static_cast<CommitBehavior>(below(4)));
      switch (below(6)) {
        case 0:
        case 1:
          outcomes.push_back(Submit(below(kHosts), MakeJob(n, 500 + 100 * below(250))));
          break;
        case 2:
          store.ApplyDelayedCommits();
          break;
        case 3:
          known = {store.revision, Sum()};
          break;
        case 4:
          Publish(known.first, known.second);
          break;
        default: {
          auto& timers = hosts[static_cast<size_t>(below(kHosts))]->timers;
          if (timers.empty()) break;
          const auto timer = timers.front();
          timers.pop_front();
          timer();
        }
      }
      ASSERT_LE(Sum(), kJobMemory) << "seed " << seed << ", event " << n;
    }
    for (const auto& it : outcomes) {
      accepted += *it && !**it ? 1 : 0;
      refused += *it && **it == ResultCode::kPoolFull ? 1 : 0;
    }
    store.delayed_commits.clear();
    store.commit_behaviors.clear();
    for (const auto& it : hosts) it->timers.clear();
    for (const auto& it : hosts) it->health.OnSuccess();
  }
  EXPECT_GT(accepted, kSeeds);
  EXPECT_GT(refused, kSeeds);
}

// Guards against a pool that stays full after its jobs are finished, and against a refusal of a job
// that is already accepted.
TEST_F(JobMemoryTest, RoomIsUsedAgainOnceTheOwnerHasCounted) {
  const jobs::Job half = MakeJob(1, 30000);
  ASSERT_GT(2 * dispatch::MaxMemoryBytes(half, kValueBytes), kJobMemory);
  EXPECT_EQ(*Submit(0, half), std::error_code());
  EXPECT_EQ(*Submit(1, MakeJob(2, 30000)), std::error_code(ResultCode::kPoolFull));
  EXPECT_EQ(*Submit(1, half), std::error_code());
  Publish(store.revision, 0);
  EXPECT_EQ(*Submit(1, MakeJob(2, 30000)), std::error_code());
}

// Guards against small jobs that are accepted while the owner says that there is no room.
TEST_F(JobMemoryTest, NothingIsAcceptedWhileThePoolIsFull) {
  EXPECT_EQ(*Submit(0, MakeJob(1, 1)), std::error_code());
  store.Apply({{}, {{kPoolFullKey, "1", 0}}, {}});
  EXPECT_EQ(*Submit(0, MakeJob(2, 1)), std::error_code(ResultCode::kPoolFull));
  EXPECT_EQ(*Submit(0, MakeJob(2, 5000)), std::error_code(ResultCode::kPoolFull));
  EXPECT_EQ(*Submit(0, MakeJob(1, 1)), std::error_code());
  store.Apply({{}, {}, {kPoolFullKey}});
  EXPECT_EQ(*Submit(0, MakeJob(2, 1)), std::error_code());
}

// Guards against a job that waits for room that no host will ever have.
TEST_F(JobMemoryTest, JobThatNoHostCanHoldIsTooLarge) {
  jobs::Job job = MakeJob(1, 10000);
  job.steps[0].checkpoint = true;
  job.spec.assign(4000, 's');
  job.steps.resize(5, job.steps[0]);
  ASSERT_GT(dispatch::MaxMemoryBytes(job, kValueBytes), kJobMemory);
  EXPECT_EQ(*Submit(0, job), std::error_code(ResultCode::kTooLarge));
  // Accepted when the smallest host was larger.
  store.Apply({{}, {{JobKey(job.id), jobs::Encode(job), 0}}, {}});
  EXPECT_EQ(*Submit(0, job), std::error_code());
}

// Guards against jobs that fit the owner's host but not the smaller ones that may take over.
TEST(SmallestMemoryTest, HostsAgreeOnTheSmallest) {
  StoppableTimer timer;
  MemoryStore store;
  UnresponsiveWorkers workers;
  metrics::Registry metrics;
  std::vector<std::unique_ptr<PoolOwner>> owners;
  for (const int64_t memory : {512000000, 160000000, 260000000}) {
    OwnerOptions options = OptionsOf("host-" + std::to_string(memory));
    options.memory_bytes = memory;
    owners.push_back(std::make_unique<PoolOwner>(options, &store, &workers, timer.Get(), &metrics));
    owners.back()->Start();
  }
  EXPECT_TRUE(WaitFor([&owners] {
    return std::all_of(owners.begin(), owners.end(),
                       [](const auto& it) { return it->JobMemoryBytes() == 100000000; });
  }));
  for (const auto& it : owners) it->Stop();
  timer.Stop();
}

}  // namespace
}  // namespace pomelopond::entry
