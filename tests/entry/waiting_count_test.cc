// The count of waiting jobs that callers get, with an owner and a host that share a store.
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include "entry/catalog_watcher.h"
#include "entry/job_service.h"
#include "entry/keys.h"
#include "entry/pool_owner.h"
#include "tests/entry/memory_store.h"
#include "tests/entry/owner_support.h"

namespace pomelopond::entry {
namespace {

constexpr const char* kQueue = "queue";
constexpr int kJobs = 7;
// A caller may be told a count that is 2 s old.
constexpr Duration kMaxCountAge = std::chrono::seconds(2);

class WaitingCountTest : public ::testing::Test {
 protected:
  WaitingCountTest()
      : catalog(&store, timer.Get(), {"config", "config", "evacuated/"}, ReadNone, &catalog_health,
                &revisions),
        service({}, &store, timer.Get(), &metrics, &health, &revisions),
        owner(OptionsOf("host-1"), &store, &workers, timer.Get(), &metrics) {
    catalog.Start();
  }

  ~WaitingCountTest() override {
    owner.Stop();
    catalog.Stop();
    timer.Stop();
  }

  static Result<jobs::Catalog> ReadNone(const store::Item&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }

  void SubmitJobs(const std::string& pool) {
    for (int n = 0; n < kJobs; ++n) {
      jobs::Job job = OneTask("00000000000000a" + std::to_string(n));
      job.rules.queue = kQueue;
      job.rules.service = pool;
      service.Submit(job, Now() + std::chrono::seconds(3),
                     [](std::error_code ec) { EXPECT_FALSE(ec); });
    }
  }

  Result<int> Count() {
    std::promise<Result<int>> answer;
    service.CountWaiting(kQueue, Now() + std::chrono::seconds(3),
                         [&answer](const Result<int>& it) { answer.set_value(it); });
    return answer.get_future().get();
  }

  StoppableTimer timer;
  MemoryStore store;
  StartingWorkers workers;
  metrics::Registry metrics;
  StoreHealth health;
  StoreHealth catalog_health;  // the store fails each second watch
  RevisionHistory revisions;
  CatalogWatcher catalog;  // its answers tell the store's revision
  JobService service;
  PoolOwner owner;
};

// Guards against a job that counts as started because a start was ordered.
TEST_F(WaitingCountTest, JobsWhoseStartIsNotConfirmedAreCounted) {
  store.Apply({{}, {{"workers/w1", "", 0}}, {}});
  workers.answers_starts = false;
  owner.Start();
  ASSERT_TRUE(WaitFor([this] { return owner.IsOwner(); }));
  SubmitJobs("pool");
  ASSERT_TRUE(WaitFor([this] { return workers.starts.load() == kJobs; }));
  std::this_thread::sleep_for(kMaxCountAge);
  EXPECT_EQ(Count().value, kJobs);
}

// Guards against the last count of an owner that is gone, given to a caller as the present one.
TEST_F(WaitingCountTest, CountOfAnOwnerThatIsGoneIsRefused) {
  owner.Start();
  ASSERT_TRUE(WaitFor([this] {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    return store.items.count(kWaitingKey) > 0;
  }));
  owner.Stop();
  SubmitJobs("pool");
  std::this_thread::sleep_for(kMaxCountAge);
  EXPECT_EQ(Count().ec, ResultCode::kOutdated);
}

// Guards against a count by an owner whose watch of the jobs fails while its commits go through.
TEST_F(WaitingCountTest, CountOfAnOwnerThatDoesNotSeeNewJobsIsRefused) {
  owner.Start();
  ASSERT_TRUE(WaitFor([this] { return owner.IsOwner(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    store.failing_prefix = kJobPrefix;
  }
  SubmitJobs("no such pool");
  std::this_thread::sleep_for(kMaxCountAge);
  EXPECT_EQ(Count().ec, ResultCode::kOutdated);
}

// Guards against a refusal of counts while an owner is there, jobs come or none do.
TEST_F(WaitingCountTest, CountOfAnOwnerThatSeesAllJobsIsGiven) {
  owner.Start();
  ASSERT_TRUE(WaitFor([this] { return owner.IsOwner(); }));
  std::this_thread::sleep_for(kMaxCountAge);
  const Result<int> none = Count();
  EXPECT_FALSE(none.ec);
  EXPECT_EQ(none.value, 0);
  SubmitJobs("no such pool");
  std::this_thread::sleep_for(kMaxCountAge);
  const Result<int> all = Count();
  EXPECT_FALSE(all.ec);
  EXPECT_EQ(all.value, kJobs);
}

}  // namespace
}  // namespace pomelopond::entry
