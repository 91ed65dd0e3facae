// MemoryStore is an in-memory KeyStore for tests. It responds at once and can simulate lost
// responses.
#ifndef POMELOPOND_TESTS_ENTRY_MEMORY_STORE_H_
#define POMELOPOND_TESTS_ENTRY_MEMORY_STORE_H_

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/result_code.h"
#include "entry/keys.h"
#include "store/key_store.h"

namespace pomelopond::entry {

// How the store handles a commit.
enum class CommitBehavior {
  kAnswered,
  kRefused,            // not applied, and refused
  kAppliedUnanswered,  // applied, but the response is lost
  kAppliedLate,        // the response is lost; applied by the next ApplyDelayedCommits()
  kNeverAnswered,      // not applied, and the call never completes
  kHeld,               // applied and answered by ReleaseCommits()
};

class MemoryStore : public store::KeyStore {
 public:
  void Get(const std::string& key, store::StoreCallback<store::Item> done) override {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    calls += 1;
    if (unavailable) return done({ResultCode::kStoreUnavailable, {}});
    const auto it = items.find(key);
    store::Item absent;
    absent.key = key;
    done({{}, it == items.end() ? absent : it->second});
  }

  void List(const std::string& prefix, const std::string& after,
            store::StoreCallback<store::Page> done) override {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    calls += 1;
    if (unavailable || prefix == failing_prefix) return done({ResultCode::kStoreUnavailable, {}});
    if (prefix == kOwnerKey) owner_lists += 1;
    store::Page page;
    page.revision = revision;
    for (const auto& [key, it] : items) {
      if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) continue;
      page.items.push_back(it);
    }
    done({{}, page});
  }

  // Fails, alternating with kNotFound, on which the watcher calls List() again. The watcher thus
  // sees changes soon.
  void Watch(const std::string&, int64_t, Duration,
             store::StoreCallback<store::Changes> done) override {
    if (!watches_answer) return;
    const bool relist = watches.fetch_add(1) % 2 == 1;
    done({relist ? ResultCode::kNotFound : ResultCode::kStoreUnavailable, {}});
  }

  void Commit(const store::Transaction& transaction, Duration,
              store::StoreCallback<store::CommitResult> done) override {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    calls += 1;
    transactions.push_back(transaction);
    const CommitBehavior behavior =
        commit_behaviors.empty() ? CommitBehavior::kAnswered : commit_behaviors.front();
    if (!commit_behaviors.empty()) commit_behaviors.pop_front();
    if (behavior == CommitBehavior::kNeverAnswered) return;
    if (unavailable || behavior == CommitBehavior::kRefused)
      return done({ResultCode::kStoreUnavailable, {}});
    if (behavior == CommitBehavior::kHeld) {
      held_commits.emplace_back(transaction, std::move(done));
      return;
    }
    if (behavior == CommitBehavior::kAppliedLate) delayed_commits.push_back(transaction);
    if (behavior == CommitBehavior::kAppliedLate) return done({ResultCode::kStoreAnswerLost, {}});
    for (const store::Write& it : transaction.writes) {
      if (it.lease != 0 && expired_leases.count(it.lease) > 0)
        return done({ResultCode::kNotFound, {}});
    }
    for (const store::Write& it : transaction.writes) {
      if (unstorable_keys.count(it.key) == 0) continue;
      rejected_commits += 1;
      return done({ResultCode::kStoreRejected, {}});
    }
    const store::CommitResult result = Apply(transaction);
    if (behavior == CommitBehavior::kAppliedUnanswered)
      return done({ResultCode::kStoreAnswerLost, {}});
    done({{}, result});
  }

  // Applies and answers the commits that were handled as kHeld.
  void ReleaseCommits() {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    for (const auto& [transaction, done] : held_commits) done({{}, Apply(transaction)});
    held_commits.clear();
  }

  void GrantLease(Duration ttl, store::StoreCallback<store::Lease> done) override {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    if (unavailable) return done({ResultCode::kStoreUnavailable, {}});
    granted_leases += 1;
    done({{}, {granted_leases, ttl}});
  }
  void RenewLease(int64_t lease, store::StoreCallback<store::Lease> done) override {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    last_renewed_lease = lease;
    if (expired_leases.count(lease) > 0) return done({ResultCode::kNotFound, {}});
    done({{}, {lease, {}}});
  }
  void EndLease(int64_t lease, store::StoreCallback<store::Lease> done) override {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    ended_leases += 1;
    items.erase(kOwnerKey);  // the only key that is attached to a lease
    done({{}, {lease, {}}});
  }

  store::CommitResult Apply(const store::Transaction& transaction) {
    store::CommitResult result;
    result.committed = true;
    for (const store::Condition& it : transaction.conditions) {
      const auto found = items.find(it.key);
      store::Item item;
      item.key = it.key;
      if (found != items.end()) item = found->second;
      result.existing.push_back(item);
      if (item.revision != it.revision) result.committed = false;
    }
    if (!result.committed) return result;
    result.existing.clear();
    result.revision = ++revision;
    for (const store::Write& it : transaction.writes) {
      store::Item& item = items[it.key];
      item.create_revision = item.revision == 0 ? revision : item.create_revision;
      item.key = it.key;
      item.value = it.value;
      item.revision = revision;
      leases[it.key] = it.lease;
    }
    for (const std::string& it : transaction.deletes) items.erase(it);
    return result;
  }

  // Ends the lease and removes its keys.
  void ExpireLease(int64_t lease) {
    const std::lock_guard<std::recursive_mutex> lock(mutex);
    expired_leases.insert(lease);
    for (const auto& [key, it] : leases) {
      if (it == lease) items.erase(key);
    }
  }

  // Applies the commits that were handled as kAppliedLate.
  void ApplyDelayedCommits() {
    for (const store::Transaction& it : delayed_commits) Apply(it);
    delayed_commits.clear();
  }

  std::map<std::string, store::Item> items;
  std::deque<CommitBehavior> commit_behaviors;  // for the next commits; then kAnswered
  std::deque<store::Transaction> delayed_commits;
  std::deque<std::pair<store::Transaction, store::StoreCallback<store::CommitResult>>> held_commits;
  std::vector<store::Transaction> transactions;  // of all commits, in the order of the calls
  std::map<std::string, int64_t> leases;         // by key; 0: none
  std::set<int64_t> expired_leases;
  int64_t granted_leases = 0;
  int64_t last_renewed_lease = 0;
  std::set<std::string> unstorable_keys;  // as if their values were too large
  int rejected_commits = 0;
  int64_t revision = 10;
  int calls = 0;
  bool unavailable = false;
  std::string failing_prefix;  // lists of this prefix fail
  std::atomic<int> ended_leases{0};
  std::atomic<int> watches{0};
  std::atomic<int> owner_lists{0};
  std::atomic<bool> watches_answer{true};  // otherwise watches never complete
  std::recursive_mutex mutex;              // guards all members that are not atomic
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_TESTS_ENTRY_MEMORY_STORE_H_
