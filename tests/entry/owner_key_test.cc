// An owner that writes its key again after the store has dropped its lease.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "entry/keys.h"
#include "entry/pool_owner.h"
#include "tests/entry/memory_store.h"
#include "tests/entry/owner_support.h"

namespace pomelopond::entry {
namespace {

constexpr Duration kCalm = std::chrono::milliseconds(400);

class OwnerKeyTest : public ::testing::Test {
 protected:
  OwnerKeyTest() : owner_(OptionsOf("host-1"), &store, &workers, timer.Get(), &metrics) {
    store.Apply({{}, {{"workers/w1", "w1", 0}}, {}});
    owner_.Start();
    EXPECT_TRUE(WaitFor([this] {
      const std::lock_guard<std::recursive_mutex> lock(store.mutex);
      return store.items.count(kWorkersKey) > 0;
    }));
  }

  ~OwnerKeyTest() override {
    owner_.Stop();
    timer.Stop();
  }

  // The store drops the lease of the owner's key.
  void DropLease() {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    store.ExpireLease(store.leases[kOwnerKey]);
  }

  bool HasOwnerKey() {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    return store.items.count(kOwnerKey) > 0 &&
           store.expired_leases.count(store.leases[kOwnerKey]) == 0;
  }

  // Numbers of the commits that carry progress, in the order of the calls.
  std::vector<int64_t> CommitsWithProgress() {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    std::vector<int64_t> numbers;
    for (const store::Transaction& it : store.transactions) {
      const bool progress =
          std::any_of(it.writes.begin(), it.writes.end(), [](const store::Write& write) {
            return write.key.compare(0, std::string(kProgressPrefix).size(), kProgressPrefix) == 0;
          });
      if (progress) numbers.push_back(DecodeTerm(it.writes.front().value).value.last_commit);
    }
    return numbers;
  }

  void Submit(const std::string& id) {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    store.Apply({{}, {{JobKey(id), jobs::Encode(OneTask(id)), 0}}, {}});
  }

  StoppableTimer timer;
  MemoryStore store;
  StartingWorkers workers;
  metrics::Registry metrics;
  PoolOwner owner_;
};

// Guards against a commit that is sent a second time while its first copy is in flight, after which
// the answers of the copies are taken for those of later commits and their records are lost
// (review/6).
TEST_F(OwnerKeyTest, CommitInFlightIsNotSentAgainWhenTheKeyIsRestored) {
  for (const std::string id : {"job-a", "job-b", "job-c"}) {
    const size_t before = CommitsWithProgress().size();
    {
      const std::lock_guard<std::recursive_mutex> lock(store.mutex);
      // The first one is the answer to the next commit of the owner, the others are of its key.
      store.commit_behaviors = {CommitBehavior::kHeld};
    }
    Submit(id);
    ASSERT_TRUE(WaitFor([this] {
      const std::lock_guard<std::recursive_mutex> lock(store.mutex);
      return !store.held_commits.empty();
    }));
    DropLease();
    EXPECT_TRUE(WaitFor([this] { return HasOwnerKey(); }));
    std::this_thread::sleep_for(kCalm);
    std::vector<int64_t> numbers = CommitsWithProgress();
    EXPECT_LE(numbers.size(), before + 1);
    store.ReleaseCommits();
    EXPECT_TRUE(WaitFor([&] { return CommitsWithProgress().size() > before; }));
    std::this_thread::sleep_for(kCalm);
    numbers = CommitsWithProgress();
    EXPECT_EQ(std::adjacent_find(numbers.begin(), numbers.end()), numbers.end());
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    EXPECT_EQ(store.items.count(ProgressKey(id)), 1U);
  }
}

// Guards against an owner's key on a lease that nobody renews: the answer to the write of the key
// is lost, or the key is missed again while it is being written.
TEST_F(OwnerKeyTest, KeyIsOnTheLeaseThatIsRenewed) {
  for (const CommitBehavior behavior :
       {CommitBehavior::kAppliedUnanswered, CommitBehavior::kRefused, CommitBehavior::kHeld}) {
    {
      const std::lock_guard<std::recursive_mutex> lock(store.mutex);
      store.commit_behaviors.assign(3, behavior);
    }
    DropLease();
    std::this_thread::sleep_for(kCalm);
    DropLease();
    store.ReleaseCommits();
    std::this_thread::sleep_for(kCalm);
    store.ReleaseCommits();
    EXPECT_TRUE(WaitFor([this] { return HasOwnerKey(); }));
    std::this_thread::sleep_for(kCalm);
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    EXPECT_EQ(store.leases[kOwnerKey], store.last_renewed_lease);
    EXPECT_TRUE(owner_.IsOwner());
  }
}

}  // namespace
}  // namespace pomelopond::entry
