#include "entry/pool_owner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "entry/campaign_delay.h"
#include "entry/keys.h"
#include "tests/entry/memory_store.h"
#include "tests/entry/owner_support.h"

namespace pomelopond::entry {
namespace {

// More commits than an owner makes in a test.
constexpr int kManyCommits = 1000;

class PoolOwnerTest : public ::testing::Test {
 protected:
  OwnerOptions Options() {
    OwnerOptions options = OptionsOf("host-1");
    options.read_worker = [](const store::Item&) {
      return Result<dispatch::WorkerInfo>{ResultCode::kStoreBadAnswer, {}};
    };
    options.load_timeout = std::chrono::milliseconds(300);
    return options;
  }

  StoppableTimer timer;
  MemoryStore store;
  UnresponsiveWorkers workers;
  metrics::Registry metrics;
};

// Guards against an owner that keeps the ownership but never loads its state. No task of the pool
// would run until the process exits.
TEST_F(PoolOwnerTest, OwnerThatCannotLoadGivesUp) {
  store.failing_prefix = kProgressPrefix;
  PoolOwner owner(Options(), &store, &workers, timer.Get(), &metrics);
  owner.Start();
  ASSERT_TRUE(WaitFor([&owner] { return owner.IsOwner(); }));
  EXPECT_TRUE(WaitFor([this] { return store.ended_leases.load() > 0; }));
  owner.Stop();
  timer.Stop();
}

// Guards against earlier owners that keep connections open on workers, which accept few.
TEST_F(PoolOwnerTest, OwnerThatStepsDownDisconnects) {
  PoolOwner owner(Options(), &store, &workers, timer.Get(), &metrics);
  owner.Start();
  ASSERT_TRUE(WaitFor([&owner] { return owner.IsOwner(); }));
  EXPECT_EQ(workers.disconnects.load(), 0);
  owner.Stop();
  timer.Stop();
  EXPECT_EQ(workers.disconnects.load(), 1);
}

// Answers the first heartbeat with kStaleEpoch, as a worker does that knows a later owner, and
// answers no other call.
class StaleEpochWorkers : public UnresponsiveWorkers {
 public:
  void Heartbeat(const dispatch::HeartbeatOrder&,
                 std::function<void(dispatch::Report)> done) override {
    if (!replied_.exchange(true)) done({{dispatch::OrderStatus::kStaleEpoch, 1, 0}, {}, {}});
  }

 private:
  std::atomic<bool> replied_{false};
};

// Guards against a process that loses the ownership while a commit is in progress, wins it again
// and then never commits. Its proof of ownership would expire, the leases of all tasks would expire
// and no task would be started.
TEST_F(PoolOwnerTest, ProcessThatOwnsThePoolAgainCommits) {
  store.Apply({{}, {{"workers/w1", "", 0}}, {}});
  store.commit_behaviors = {CommitBehavior::kAnswered, CommitBehavior::kNeverAnswered};
  OwnerOptions options = Options();
  options.read_worker = ReadOneWorker;
  StaleEpochWorkers later;
  PoolOwner owner(options, &store, &later, timer.Get(), &metrics);
  owner.Start();
  EXPECT_TRUE(WaitFor([this] {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    return store.items.count(kWorkersKey) > 0;
  }));
  EXPECT_EQ(DecodeTerm(store.items[kTermKey].value).value.epoch, 2);
  owner.Stop();
  timer.Stop();
}

// Guards against a replaced owner that starts a job accepted after its replacement. The next owner
// would start the same job as well.
TEST_F(PoolOwnerTest, ReplacedOwnerStartsNoJobThatIsNewerThanItsTerm) {
  store.Apply({{}, {{"workers/w1", "", 0}}, {}});
  OwnerOptions options = Options();
  options.read_worker = ReadOneWorker;
  StartingWorkers counting;
  PoolOwner owner(options, &store, &counting, timer.Get(), &metrics);
  owner.Start();
  const std::string first = "00000000000000aa";
  const std::string second = "00000000000000bb";
  {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    store.Apply({{}, {{kJobPrefix + first, Encode(OneTask(first)), 0}}, {}});
  }
  ASSERT_TRUE(WaitFor([&counting] { return counting.starts.load() == 1; }));
  {
    // The next owner takes over, a job is accepted, and the commits of the replaced owner never
    // complete.
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    store.commit_behaviors.assign(kManyCommits, CommitBehavior::kNeverAnswered);
    store.Apply({{}, {{kTermKey, Encode(Term{2, "host-2", 1}), 0}}, {}});
    store.Apply({{}, {{kJobPrefix + second, Encode(OneTask(second)), 0}}, {}});
  }
  EXPECT_TRUE(WaitFor([&owner] { return !owner.IsOwner(); }));
  EXPECT_EQ(counting.starts.load(), 1);
  owner.Stop();
  timer.Stop();
}

// Guards against a slow host that becomes the owner of a pool that faster hosts can own, and
// against a pool without an owner when the faster hosts are gone.
TEST_F(PoolOwnerTest, SlowHostWaitsForFasterOnesBeforeItTakesOver) {
  store.Apply({{}, {{kTermKey, Encode(Term{1, "host-2", 0, 500}), 0}}, {}});
  std::atomic<int> yields{0};
  const Timer counting = [&yields, run = timer.Get()](Duration delay, std::function<void()> work) {
    if (delay == YieldTime(100, 500)) yields += 1;
    run(delay, std::move(work));
  };
  OwnerOptions options = Options();
  options.processor_milli = 100;
  PoolOwner owner(options, &store, &workers, counting, &metrics);
  owner.Start();
  ASSERT_TRUE(WaitFor([&owner] { return owner.IsOwner(); }));
  EXPECT_EQ(yields.load(), 1);
  {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    EXPECT_EQ(DecodeTerm(store.items[kTermKey].value).value.fastest_milli, 500);
  }
  owner.Stop();
  timer.Stop();
}

TEST_F(PoolOwnerTest, StoppedOwnerEndsItsLease) {
  PoolOwner owner(Options(), &store, &workers, timer.Get(), &metrics);
  owner.Start();
  ASSERT_TRUE(WaitFor([&owner] { return owner.IsOwner(); }));
  owner.Stop();
  timer.Stop();
  EXPECT_FALSE(owner.IsOwner());
  EXPECT_EQ(store.ended_leases.load(), 1);
}

// Guards against one job whose record the store rejects for its size, after which no change of any
// other job becomes durable and nothing starts any more (review/7).
TEST_F(PoolOwnerTest, JobThatTheStoreRejectsHoldsUpNoOther) {
  const OwnerOptions options = OptionsOf("host-1");
  for (const int jobs : {2, 5, 8}) {
    MemoryStore pool;
    std::vector<std::string> stored;
    for (int n = 0; n < jobs; ++n) {
      const std::string id = "job-" + std::to_string(n);
      pool.Apply({{}, {{JobKey(id), jobs::Encode(OneTask(id)), 0}}, {}});
      if (n != jobs / 2) stored.push_back(ProgressKey(id));
    }
    pool.Apply({{}, {{"workers/w1", "w1", 0}}, {}});
    pool.unstorable_keys = {ProgressKey("job-" + std::to_string(jobs / 2))};
    StartingWorkers each_start;
    PoolOwner owner(options, &pool, &each_start, timer.Get(), &metrics);
    owner.Start();
    EXPECT_TRUE(WaitFor([&] {
      const std::lock_guard<std::recursive_mutex> lock(pool.mutex);
      return pool.rejected_commits > 0 &&
             std::count_if(stored.begin(), stored.end(), [&pool](const std::string& it) {
               return pool.items.count(it) > 0;
             }) == jobs - 1;
    })) << jobs;
    // The record is given up, so the store is not asked for ever.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    owner.Stop();
    EXPECT_LE(pool.rejected_commits, 6);
  }
  timer.Stop();
}

}  // namespace
}  // namespace pomelopond::entry
