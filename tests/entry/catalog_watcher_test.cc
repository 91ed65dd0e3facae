// What a host knows of the operators' keys.
#include "entry/catalog_watcher.h"

#include <gtest/gtest.h>

#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "tests/entry/memory_store.h"
#include "tests/entry/owner_support.h"

namespace pomelopond::entry {
namespace {

using Domains = std::set<std::string>;

Result<jobs::Catalog> ReadVersion(const store::Item& item) {
  jobs::Catalog catalog;
  catalog.version = std::stoll(item.value);
  return {{}, catalog};
}

// Holds each watch call until the test answers it.
class HeldWatchStore : public MemoryStore {
 public:
  void Watch(const std::string&, int64_t, Duration wait,
             store::StoreCallback<store::Changes> done) override {
    const std::lock_guard<std::mutex> lock(watch_mutex_);
    wait_ = wait;
    held_ = std::move(done);
  }

  // Answers the present watch call, or the next one. Returns its wait.
  Duration Answer(const Result<store::Changes>& result) {
    store::StoreCallback<store::Changes> done;
    Duration wait{};
    EXPECT_TRUE(WaitFor([&] {
      const std::lock_guard<std::mutex> lock(watch_mutex_);
      done = std::exchange(held_, nullptr);
      wait = wait_;
      return done != nullptr;
    }));
    if (done) done(result);
    return wait;
  }

 private:
  std::mutex watch_mutex_;  // guards the members below
  Duration wait_{};
  store::StoreCallback<store::Changes> held_;
};

class CatalogWatcherTest : public testing::Test {
 protected:
  CatalogWatcherTest()
      : watcher(&store, timer.Get(), {"op/", "op/config", "op/evacuate/"}, ReadVersion, &health,
                &revisions) {}
  ~CatalogWatcherTest() override {
    watcher.Stop();
    timer.Stop();
  }

  bool WaitForDomains(const Domains& domains) {
    return WaitFor([&] {
      const DomainsPtr known = watcher.Current().evacuated;
      return known != nullptr && *known == domains;
    });
  }

  StoppableTimer timer;
  MemoryStore store;
  StoreHealth health;
  RevisionHistory revisions;
  CatalogWatcher watcher;
};

// Guards against an owner that takes "not listed yet" for "nothing is evacuated".
TEST_F(CatalogWatcherTest, NothingIsKnownBeforeTheFirstList) {
  EXPECT_EQ(watcher.Current().evacuated, nullptr);
  store.unavailable = true;
  watcher.Start();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(watcher.Current().evacuated, nullptr);
  store.unavailable = false;
  EXPECT_TRUE(WaitForDomains({}));
}

// Guards against evacuations that are mixed up with other keys of the operators, or whose value
// matters.
TEST_F(CatalogWatcherTest, EvacuationsAndTheCatalogAreToldApart) {
  store.Apply({{}, {{"op/config", "7", 0}}, {}});
  store.Apply({{}, {{"op/evacuate/east", "not JSON", 0}, {"op/wave/1", "{}", 0}}, {}});
  store.Apply({{}, {{"op/evacuate/", "{}", 0}}, {}});
  watcher.Start();
  ASSERT_TRUE(WaitForDomains({"east"}));
  EXPECT_EQ(watcher.Current().catalog->version, 7);
}

// Guards against an evacuation that stays in force because its deletion was not seen: a list
// replaces what was known before.
TEST_F(CatalogWatcherTest, ListReplacesTheEvacuations) {
  store.Apply({{}, {{"op/evacuate/east", "{}", 0}}, {}});
  watcher.Start();
  ASSERT_TRUE(WaitForDomains({"east"}));
  store.Apply({{}, {{"op/evacuate/west", "{}", 0}}, {"op/evacuate/east"}});
  EXPECT_TRUE(WaitForDomains({"west"}));
}

store::Change Written(const std::string& key) { return {{key, "{}", 0}, false}; }
store::Change Deleted(const std::string& key) { return {{key, "", 0}, true}; }

class EvacuationChangesTest : public testing::Test {
 protected:
  EvacuationChangesTest()
      : watcher(&store, timer.Get(), {"op/", "op/config", "op/evacuate/"}, ReadVersion, &health,
                &revisions) {
    store.Apply({{}, {{"op/evacuate/east", "{}", 0}}, {}});
    watcher.Start();
  }
  ~EvacuationChangesTest() override {
    watcher.Stop();
    timer.Stop();
  }

  Domains Known() { return *watcher.Current().evacuated; }

  StoppableTimer timer;
  HeldWatchStore store;
  StoreHealth health;
  RevisionHistory revisions;
  CatalogWatcher watcher;
};

// Guards against changes of the evacuations that get lost, or are applied in another order.
TEST_F(EvacuationChangesTest, ChangesAreAppliedInTheirOrder) {
  EXPECT_EQ(Known(), Domains{"east"});
  store.Answer({{}, {{Written("op/evacuate/west"), Deleted("op/evacuate/east")}, 5}});
  EXPECT_EQ(Known(), Domains{"west"});
  store.Answer({{},
                {{Deleted("op/evacuate/west"), Written("op/evacuate/north"),
                  Deleted("op/evacuate/north"), Written("op/evacuate/west"), Deleted("op/config")},
                 9}});
  EXPECT_EQ(Known(), Domains{"west"});
}

// Guards against an owner that holds starts for the whole wait of a watch call after each outage.
TEST_F(EvacuationChangesTest, EvacuationsAreConfirmedSoonAfterAFailedCall) {
  const Duration usual = store.Answer({{}, {{}, 5}});
  store.Answer({ResultCode::kStoreUnavailable, {}});
  EXPECT_LT(store.Answer({{}, {{}, 5}}), usual / 10);
  EXPECT_EQ(store.Answer({{}, {{}, 5}}), usual);
}

}  // namespace
}  // namespace pomelopond::entry
