// What a host knows of the operators' keys.
#include "entry/catalog_watcher.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

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

}  // namespace
}  // namespace pomelopond::entry
