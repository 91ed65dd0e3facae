// Creations of jobs that the store carries out after the job was cancelled.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>

#include "entry/job_service.h"
#include "entry/keys.h"
#include "tests/entry/memory_store.h"

namespace pomelopond::entry {
namespace {

constexpr int kSeeds = 300;
constexpr int kStepsPerSeed = 30;
constexpr int kJobs = 3;
constexpr int kHosts = 3;

std::string IdOf(int n) {
  const std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

jobs::Job MakeJob(const std::string& id) {
  jobs::Job job;
  job.id = id;
  job.steps.resize(1);
  return job;
}

// Several hosts that share one store. Their timers run when the test says so.
class LateCreationTest : public ::testing::Test {
 protected:
  struct Host {
    explicit Host(MemoryStore* store)
        : service(
              {}, store,
              [this](Duration, const std::function<void()>& it) { timers.push_back(it); }, &metrics,
              &health, &revisions) {}

    std::deque<std::function<void()>> timers;
    metrics::Registry metrics;
    StoreHealth health;
    RevisionHistory revisions;
    JobService service;
  };

  LateCreationTest() {
    for (int n = 0; n < kHosts; ++n) hosts.push_back(std::make_unique<Host>(&store));
  }

  using Outcome = std::optional<std::error_code>;

  std::shared_ptr<Outcome> Submit(int host, const std::string& id) {
    const auto outcome = std::make_shared<Outcome>();
    hosts[static_cast<size_t>(host)]->service.Submit(
        MakeJob(id), Now() + std::chrono::seconds(3),
        [outcome](std::error_code ec) { *outcome = ec; });
    return outcome;
  }

  std::shared_ptr<Outcome> Cancel(int host, const std::string& id) {
    const auto outcome = std::make_shared<Outcome>();
    hosts[static_cast<size_t>(host)]->service.Cancel(
        id, Now() + std::chrono::seconds(3), [outcome](std::error_code ec) { *outcome = ec; });
    return outcome;
  }

  // The host answers within 1.5 s.
  void RunTimersUntilAnswered(int host, const std::shared_ptr<Outcome>& outcome) {
    auto& timers = hosts[static_cast<size_t>(host)]->timers;
    const TimePoint until = Now() + std::chrono::seconds(3);
    while (!*outcome && Now() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      const auto due = std::exchange(timers, {});
      for (const auto& it : due) it();
    }
    ASSERT_TRUE(*outcome);
  }

  bool IsRunnable(const std::string& id) {
    return store.items.count(JobKey(id)) > 0 && store.items.count(CancelKey(id)) == 0;
  }

  MemoryStore store;
  std::vector<std::unique_ptr<Host>> hosts;
};

// Guards against a job that runs although its cancellation was acknowledged: the store carries out
// the creation, of which the caller never heard, after the cancellation.
TEST_F(LateCreationTest, CreationThatTheStoreHoldsBackFailsAfterTheCancellation) {
  store.commit_behaviors = {CommitBehavior::kAppliedLate};
  Submit(0, IdOf(1));
  EXPECT_EQ(*Cancel(1, IdOf(1)), std::error_code(ResultCode::kNotFound));
  store.ApplyDelayedCommits();
  EXPECT_FALSE(IsRunnable(IdOf(1)));
}

// Guards against the same for a request that a host reads only after it was frozen, and against an
// answer by which its caller takes the job for accepted.
TEST_F(LateCreationTest, RequestThatAHostReadsLateIsRefusedAsCancelled) {
  EXPECT_EQ(*Cancel(1, IdOf(1)), std::error_code(ResultCode::kNotFound));
  EXPECT_EQ(*Submit(0, IdOf(1)), std::error_code(ResultCode::kCancelled));
  EXPECT_FALSE(IsRunnable(IdOf(1)));
  EXPECT_EQ(*Submit(0, IdOf(2)), std::error_code());
}

// Guards against a cancellation that is acknowledged as one of an unknown job although the job was
// created while the store was asked.
TEST_F(LateCreationTest, JobThatIsCreatedMeanwhileIsCancelled) {
  store.commit_behaviors = {CommitBehavior::kAppliedLate, CommitBehavior::kRefused};
  Submit(0, IdOf(1));
  const auto cancelled = Cancel(1, IdOf(1));
  store.ApplyDelayedCommits();
  while (!*cancelled) {
    ASSERT_FALSE(hosts[1]->timers.empty());
    const auto timer = hosts[1]->timers.front();
    hosts[1]->timers.pop_front();
    timer();
  }
  EXPECT_EQ(**cancelled, std::error_code());
  EXPECT_EQ(store.items.count(CancelKey(IdOf(1))), 1U);
}

// Guards against cancellations that fail, or are forgotten at once, after the store has dropped the
// lease that they share.
TEST_F(LateCreationTest, LostLeaseIsReplaced) {
  Cancel(0, IdOf(1));
  store.ExpireLease(store.granted_leases);
  const auto cancelled = Cancel(0, IdOf(2));
  for (const auto& it : std::deque<std::function<void()>>(hosts[0]->timers)) it();
  EXPECT_EQ(*cancelled, std::error_code(ResultCode::kNotFound));
  EXPECT_EQ(*Submit(1, IdOf(2)), std::error_code(ResultCode::kCancelled));
}

// Guards against a store call for the lease of each cancellation.
TEST_F(LateCreationTest, CancellationsOfUnknownJobsShareALease) {
  for (int n = 1; n < 9; ++n) Cancel(0, IdOf(n));
  EXPECT_EQ(store.granted_leases, 1);
}

// Guards against any order of submissions, cancellations, lost, refused and late store calls after
// which a job runs that was cancelled before.
TEST_F(LateCreationTest, NoOrderOfEventsRunsACancelledJob) {
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    const auto below = [&random](int n) {
      return std::uniform_int_distribution<>(0, n - 1)(random);
    };
    std::map<std::string, std::vector<std::shared_ptr<Outcome>>> cancelled;
    store.items.clear();
    for (int n = 0; n < kStepsPerSeed; ++n) {
      const std::string id = IdOf(below(kJobs));
      const int host = below(kHosts);
      if (below(3) == 0) {
        store.commit_behaviors.push_back(static_cast<CommitBehavior>(below(4)));
      }
      switch (below(6)) {
        case 0:
        case 1:
          Submit(host, id);
          break;
        case 2:
          cancelled[id].push_back(Cancel(host, id));
          break;
        case 3:
          if (!store.delayed_commits.empty()) {
            const size_t which =
                static_cast<size_t>(below(static_cast<int>(store.delayed_commits.size())));
            store.Apply(store.delayed_commits[which]);
          }
          break;
        default: {
          auto& timers = hosts[static_cast<size_t>(host)]->timers;
          if (timers.empty()) break;
          const auto timer = timers.front();
          timers.pop_front();
          timer();
        }
      }
      for (const auto& [job, outcomes] : cancelled) {
        for (const auto& it : outcomes) {
          const bool acknowledged = *it && (!**it || **it == ResultCode::kNotFound);
          ASSERT_FALSE(acknowledged && IsRunnable(job)) << "seed " << seed << ", event " << n;
        }
      }
    }
    store.delayed_commits.clear();
    store.commit_behaviors.clear();
    for (const auto& it : hosts) it->timers.clear();
    for (const auto& it : hosts) it->health.OnSuccess();
  }
}

// Guards against a submission that is refused and runs (review/13): a copy of its creation without
// an answer takes effect once the pool has room again.
TEST_F(LateCreationTest, CreationThatTheStoreHoldsBackFailsAfterARefusalForAFullPool) {
  store.commit_behaviors = {CommitBehavior::kAppliedLate};
  store.Apply({{}, {{kPoolFullKey, "1", 0}}, {}});
  const auto outcome = Submit(0, IdOf(1));
  RunTimersUntilAnswered(0, outcome);
  EXPECT_EQ(**outcome, std::error_code(ResultCode::kPoolFull));
  store.Apply({{}, {}, {kPoolFullKey}});
  store.ApplyDelayedCommits();
  EXPECT_FALSE(IsRunnable(IdOf(1)));
  // The caller comes back with the same id, at any host.
  EXPECT_EQ(*Submit(1, IdOf(1)), std::error_code());
  EXPECT_TRUE(IsRunnable(IdOf(1)));
}

// Guards against the same while the store does not tell whether the revocation has taken effect.
TEST_F(LateCreationTest, CreationThatCannotBeRevokedIsNotRefused) {
  store.commit_behaviors = {CommitBehavior::kAppliedLate};
  store.Apply({{}, {{kPoolFullKey, "1", 0}}, {}});
  const auto outcome = Submit(0, IdOf(1));
  // Each second commit is a revocation.
  for (int n = 0; n < 1000; ++n) {
    store.commit_behaviors.push_back(CommitBehavior::kAnswered);
    store.commit_behaviors.push_back(CommitBehavior::kRefused);
  }
  RunTimersUntilAnswered(0, outcome);
  store.Apply({{}, {}, {kPoolFullKey}});
  store.ApplyDelayedCommits();
  ASSERT_TRUE(IsRunnable(IdOf(1)));
  EXPECT_EQ(**outcome, std::error_code(ResultCode::kOutcomeUnknown));
}

// Guards against the same for the mark of an earlier cancellation that is about to end.
TEST_F(LateCreationTest, CreationThatTheStoreHoldsBackFailsAfterTheMarkThatRefusedIt) {
  constexpr int64_t kOldLease = 1000;
  store.Apply({{}, {{CancelledKey(IdOf(1)), kCancelledMark, kOldLease}}, {}});
  store.commit_behaviors = {CommitBehavior::kAppliedLate};
  const auto outcome = Submit(0, IdOf(1));
  RunTimersUntilAnswered(0, outcome);
  EXPECT_EQ(**outcome, std::error_code(ResultCode::kCancelled));
  store.ExpireLease(kOldLease);
  store.ApplyDelayedCommits();
  EXPECT_FALSE(IsRunnable(IdOf(1)));
}

// Guards against a caller that waits for nothing, or hears that the outcome is unknown, although
// the mark outlasts all copies of the creation.
TEST_F(LateCreationTest, RecentCancellationIsToldAtOnce) {
  store.Apply({{}, {{CancelledKey(IdOf(1)), kCancelledMark, 0}}, {}});
  hosts[0]->revisions.Record(Now(), store.revision - 1);
  store.commit_behaviors = {CommitBehavior::kAppliedLate};
  const auto outcome = Submit(0, IdOf(1));
  ASSERT_EQ(hosts[0]->timers.size(), 1U);
  const auto timer = hosts[0]->timers.front();
  timer();
  EXPECT_EQ(*outcome, std::error_code(ResultCode::kCancelled));
}

// Guards against any order of submissions, lost, refused and late store
// calls, and a pool that is full and has room in turn, after which a job exists that was refused.
TEST_F(LateCreationTest, NoOrderOfEventsCreatesARefusedJob) {
  constexpr const char* kRefusing[] = {"pool_full", "store_unavailable", "cancelled", "overloaded"};
  int refused = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    const auto below = [&random](int n) {
      return std::uniform_int_distribution<>(0, n - 1)(random);
    };
    std::map<std::string, std::shared_ptr<Outcome>> outcomes;
    store.items.clear();
    const auto check = [&] {
      for (const auto& [id, outcome] : outcomes) {
        if (!*outcome || store.items.count(JobKey(id)) == 0) continue;
        const char* name = ResultName(static_cast<ResultCode>((*outcome)->value()));
        for (const char* it : kRefusing) ASSERT_STRNE(name, it) << "seed " << seed << ", " << id;
      }
    };
    for (int n = 0; n < kStepsPerSeed; ++n) {
      const std::string id = IdOf(n);
      const int host = below(kHosts);
      if (below(3) == 0) {
        store.commit_behaviors.push_back(static_cast<CommitBehavior>(below(4)));
      }
      switch (below(6)) {
        case 0:
        case 1:
          outcomes[id] = Submit(host, id);
          break;
        case 2:
          store.Apply({{}, {{kPoolFullKey, "1", 0}}, {}});
          break;
        case 3:
          store.Apply({{}, {}, {kPoolFullKey}});
          break;
        case 4:
          if (!store.delayed_commits.empty()) {
            store.Apply(store.delayed_commits.front());
            store.delayed_commits.pop_front();
          }
          break;
        default: {
          auto& timers = hosts[static_cast<size_t>(host)]->timers;
          if (timers.empty()) break;
          const auto timer = timers.front();
          timers.pop_front();
          timer();
        }
      }
      check();
    }
    store.Apply({{}, {}, {kPoolFullKey}});
    store.ApplyDelayedCommits();
    check();
    for (const auto& [id, it] : outcomes) refused += *it && **it == ResultCode::kPoolFull ? 1 : 0;
    store.commit_behaviors.clear();
    for (const auto& it : hosts) it->timers.clear();
    for (const auto& it : hosts) it->health.OnSuccess();
  }
  EXPECT_GT(refused, kSeeds / 2);
}

}  // namespace
}  // namespace pomelopond::entry
