// The ownership of an owner with much to load or to send, as the store sees it.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <string>

#include "entry/keys.h"
#include "tests/entry/memory_store.h"
#include "tests/entry/owner_support.h"

namespace pomelopond::entry {
namespace {

constexpr Duration kLease = std::chrono::milliseconds(400);
// All records take several times the lease to decode. With sanitizers a step takes some forty times
// as long.
#ifdef __SANITIZE_ADDRESS__
constexpr Duration kLoadLease = std::chrono::seconds(1);
constexpr int kSteps = 200;
constexpr int kLargeJobs = 40;
#else
constexpr Duration kLoadLease = kLease;
constexpr int kSteps = 1000;
constexpr int kLargeJobs = 100;
#endif

// Records the longest time between two renewals of a lease.
class RenewedStore : public MemoryStore {
 public:
  void RenewLease(int64_t lease, store::StoreCallback<store::Lease> done) override {
    {
      const std::lock_guard<std::recursive_mutex> lock(mutex);
      const TimePoint now = Now();
      if (renewals_ > 0) longest_gap_ = std::max<Duration>(longest_gap_, now - renewed_at_);
      renewed_at_ = now;
      renewals_ += 1;
    }
    MemoryStore::RenewLease(lease, std::move(done));
  }
  Duration LongestGap() {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    return longest_gap_;
  }
  int Renewals() {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    return renewals_;
  }

 private:
  Duration longest_gap_{};
  TimePoint renewed_at_;
  int renewals_ = 0;
};

// Takes the time of an order on a slow host for each start.
class SlowCalls : public StartingWorkers {
 public:
  void Start(const dispatch::StartOrder& order,
             std::function<void(dispatch::Answer)> done) override {
    std::this_thread::sleep_for(std::chrono::microseconds(500));
    StartingWorkers::Start(order, std::move(done));
  }
};

class OwnerTurnsTest : public ::testing::Test {
 protected:
  static OwnerOptions Options(Duration lease) {
    OwnerOptions options = OptionsOf("host-1");
    options.lease = lease;
    return options;
  }

  void Put(const jobs::Job& job) {
    store.Apply({{}, {{JobKey(job.id), jobs::Encode(job), 0}}, {}});
  }

  StoppableTimer timer;
  RenewedStore store;
  metrics::Registry metrics;
};

// Guards against an owner that loses the ownership while it decodes the stored jobs, so that the
// next one begins anew, for ever (review/12).
TEST_F(OwnerTurnsTest, RenewsTheOwnershipWhileItLoadsLargeJobs) {
  jobs::Job large = OneTask("");
  large.steps.resize(kSteps, large.steps[0]);
  large.occurrences = 1;
  large.first_ms = WallClockMs() + 3600000;
  for (int n = 0; n < kLargeJobs; ++n) {
    large.id = std::to_string(1000000000000000 + n);
    Put(large);
  }
  Put(OneTask("2000000000000000"));
  store.Apply({{}, {{"workers/w1", "", 0}}, {}});
  StartingWorkers workers;
  PoolOwner owner(Options(kLoadLease), &store, &workers, timer.Get(), &metrics);
  owner.Start();
  EXPECT_TRUE(WaitFor([&workers] { return workers.starts.load() > 0; }));
  EXPECT_GT(store.Renewals(), 4);
  EXPECT_LT(store.LongestGap(), kLoadLease);
  EXPECT_EQ(store.ended_leases.load(), 0);
  owner.Stop();
  timer.Stop();
}

// Guards against the same while the starts of a large gang are sent.
TEST_F(OwnerTurnsTest, RenewsTheOwnershipWhileItSendsManyStarts) {
  constexpr int kMembers = 1500;
  jobs::Job gang = OneTask("2000000000000000");
  gang.steps[0].request = {1, 1, 0};
  gang.steps[0].gang = true;
  gang.steps[0].replicas = kMembers;
  Put(gang);
  store.Apply({{}, {{"workers/w1", "", 0}}, {}});
  SlowCalls workers;
  PoolOwner owner(Options(kLease), &store, &workers, timer.Get(), &metrics);
  owner.Start();
  EXPECT_TRUE(WaitFor([&workers] { return workers.starts.load() >= kMembers; }));
  EXPECT_GT(store.Renewals(), 4);
  EXPECT_LT(store.LongestGap(), kLease);
  owner.Stop();
  timer.Stop();
}

}  // namespace
}  // namespace pomelopond::entry
