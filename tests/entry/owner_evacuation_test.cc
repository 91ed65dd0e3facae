// An owner that does not know, or no longer knows, which failure domains are evacuated.
#include <gtest/gtest.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "entry/pool_owner.h"
#include "tests/entry/memory_store.h"
#include "tests/entry/owner_support.h"

namespace pomelopond::entry {
namespace {

// Longer than the time for which an owner goes on without a confirmation.
constexpr Duration kOutdated = std::chrono::seconds(4);
// Longer than the interval at which the owner updates its metrics.
constexpr Duration kMetricsInterval = std::chrono::milliseconds(2500);
// Shorter than kOutdated, and long enough for several decisions.
constexpr Duration kShort = std::chrono::milliseconds(500);

class OwnerEvacuationTest : public ::testing::Test {
 protected:
  OwnerEvacuationTest() {
    OwnerOptions options = OptionsOf("host-1");
    options.catalog = [this] {
      const std::lock_guard<std::mutex> lock(mutex);
      CatalogView view = known;
      if (confirmed) view.confirmed_at = Now();
      return view;
    };
    owner = std::make_unique<PoolOwner>(options, &store, &workers, timer.Get(), &metrics);
    store.Apply({{}, {{"workers/w1", "", 0}}, {}});
  }
  ~OwnerEvacuationTest() override {
    owner->Stop();
    timer.Stop();
  }

  void SetView(const std::set<std::string>& domains, bool is_confirmed) {
    const std::lock_guard<std::mutex> lock(mutex);
    known.evacuated = std::make_shared<const std::set<std::string>>(domains);
    known.confirmed_at = Now();
    confirmed = is_confirmed;
  }

  void Submit(const std::string& id) {
    store.Apply({{}, {{JobKey(id), Encode(OneTask(id)), 0}}, {}});
  }

  std::mutex mutex;  // guards known and confirmed
  CatalogView known;
  bool confirmed = false;
  StoppableTimer timer;
  MemoryStore store;
  StartingWorkers workers;
  metrics::Registry metrics;
  std::unique_ptr<PoolOwner> owner;
};

// Guards against a new owner that starts tasks before it has read which domains are evacuated.
TEST_F(OwnerEvacuationTest, NothingStartsBeforeTheEvacuationsAreKnown) {
  Submit("0000000000000001");
  owner->Start();
  ASSERT_TRUE(WaitFor([this] { return owner->IsOwner(); }));
  std::this_thread::sleep_for(kShort);
  EXPECT_EQ(workers.starts.load(), 0);
  SetView({}, true);
  EXPECT_TRUE(WaitFor([this] { return workers.starts.load() == 1; }));
}

// Guards against an owner whose watch of the evacuations hangs while its other calls are answered.
TEST_F(OwnerEvacuationTest, NothingStartsWhileTheEvacuationsAreNotConfirmed) {
  SetView({}, false);
  owner->Start();
  ASSERT_TRUE(WaitFor([this] { return owner->IsOwner(); }));
  std::this_thread::sleep_for(kOutdated);
  Submit("0000000000000001");
  std::this_thread::sleep_for(kShort);
  EXPECT_EQ(workers.starts.load(), 0);
  SetView({}, true);
  EXPECT_TRUE(WaitFor([this] { return workers.starts.load() == 1; }));
}

// Guards against an outage of the store that stops all starts: nothing can be evacuated meanwhile.
TEST_F(OwnerEvacuationTest, StartsGoOnWhileTheStoreAnswersNothing) {
  SetView({}, true);
  owner->Start();
  ASSERT_TRUE(WaitFor([this] { return owner->IsOwner(); }));
  Submit("0000000000000001");
  ASSERT_TRUE(WaitFor([this] { return workers.starts.load() == 1; }));
  {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    store.unavailable = true;
  }
  SetView({}, false);
  std::this_thread::sleep_for(kOutdated + kMetricsInterval);
  EXPECT_NE(metrics.ExpositionText().find("starts_held 0"), std::string::npos);
  EXPECT_EQ(metrics.ExpositionText().find("starts_held 1"), std::string::npos);
}

}  // namespace
}  // namespace pomelopond::entry
