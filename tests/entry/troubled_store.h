// A KeyStore whose calls take time. It is slow, down, loses answers, carries out calls after their
// senders gave up on them, ends leases and forgets its history, as told.
#ifndef POMELOPOND_TESTS_ENTRY_TROUBLED_STORE_H_
#define POMELOPOND_TESTS_ENTRY_TROUBLED_STORE_H_

#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/result_code.h"
#include "base/time.h"
#include "entry/keys.h"
#include "http/http_client.h"
#include "store/key_store.h"

namespace pomelopond::entry {

struct StoreTroubles {
  int slow_ms = 3;        // longest time of a call, before and after it takes effect
  double lost_share = 0;  // of the answers
  double late_share = 0;  // of the calls: carried out seconds later, without an answer
  bool down = false;
};

class TroubledStore : public store::KeyStore {
 public:
  explicit TroubledStore(uint64_t seed) : random_(seed) {}

  void Get(const std::string& key, store::StoreCallback<store::Item> done) override {
    Call<store::Item>(std::move(done), kCallTimeout, [this, key] { return Read(key); });
  }

  void List(const std::string& prefix, const std::string& after,
            store::StoreCallback<store::Page> done) override {
    Call<store::Page>(std::move(done), kCallTimeout, [this, prefix, after] {
      store::Page page;
      page.revision = revision_;
      auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
      for (; it != items_.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) break;
        page.has_more = page.items.size() == kPageItems;
        if (page.has_more) break;
        page.items.push_back(it->second);
      }
      return Result<store::Page>{{}, page};
    });
  }

  void Watch(const std::string& prefix, int64_t revision, Duration wait,
             store::StoreCallback<store::Changes> done) override {
    Poll(prefix, revision, Now() + wait, std::move(done));
  }

  void Commit(const store::Transaction& transaction, Duration timeout,
              store::StoreCallback<store::CommitResult> done) override {
    Call<store::CommitResult>(std::move(done), timeout,
                              [this, transaction] { return Apply(transaction); });
  }

  void GrantLease(Duration ttl, store::StoreCallback<store::Lease> done) override {
    Call<store::Lease>(std::move(done), kCallTimeout, [this, ttl] {
      const int64_t id = ++last_lease_;
      lease_ends_[id] = {Now() + ttl, ttl};
      return Result<store::Lease>{{}, {id, ttl}};
    });
  }
  void RenewLease(int64_t lease, store::StoreCallback<store::Lease> done) override {
    Call<store::Lease>(std::move(done), kCallTimeout, [this, lease]() -> Result<store::Lease> {
      const auto it = lease_ends_.find(lease);
      if (it == lease_ends_.end()) return {ResultCode::kNotFound, {}};
      it->second.first = Now() + it->second.second;
      return {{}, {lease, it->second.second}};
    });
  }
  void EndLease(int64_t lease, store::StoreCallback<store::Lease> done) override {
    Call<store::Lease>(std::move(done), kCallTimeout, [this, lease] {
      Drop(lease);
      return Result<store::Lease>{{}, {lease, {}}};
    });
  }

  void SetTroubles(const StoreTroubles& troubles) {
    const std::lock_guard<std::mutex> lock(mutex_);
    troubles_ = troubles;
  }
  bool IsDown() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return troubles_.down;
  }
  // Ends all leases, as in an outage in which they expire.
  void EndLeases() {
    const std::lock_guard<std::mutex> lock(mutex_);
    while (!lease_ends_.empty()) Drop(lease_ends_.begin()->first);
  }
  // Watches that go on from an earlier revision fail.
  void ForgetHistory() {
    const std::lock_guard<std::mutex> lock(mutex_);
    history_.clear();
    history_begin_ = revision_;
  }

  // As other programs do, at once.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Apply({{}, {{key, value, 0}}, {}});
  }
  store::Item ValueOf(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Read(key).value;
  }

 private:
  static constexpr Duration kCallTimeout = std::chrono::seconds(1);
  static constexpr Duration kPollInterval = std::chrono::milliseconds(10);
  static constexpr int kLatestMs = 3000;
  static constexpr size_t kPageItems = 50;

  int Between(int low, int high) { return std::uniform_int_distribution<>(low, high)(random_); }
  bool Chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

  template <class T>
  void Call(store::StoreCallback<T> done, Duration timeout, std::function<Result<T>()> execute) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (troubles_.down) {
      return http::RunAfter(std::chrono::milliseconds(Between(1, 20)), [done] {
        done({ResultCode::kStoreUnavailable, {}});
      });
    }
    const bool late = Chance(troubles_.late_share);
    const bool lost = late || Chance(troubles_.lost_share);
    const int begins_ms = late ? Between(10, kLatestMs) : Between(1, troubles_.slow_ms);
    const std::chrono::milliseconds takes(Between(1, troubles_.slow_ms));
    if (lost) http::RunAfter(timeout, [done] { done({ResultCode::kStoreAnswerLost, {}}); });
    http::RunAfter(std::chrono::milliseconds(begins_ms), [this, done, lost, takes, execute] {
      const Result<T> result = Execute(execute);
      if (!lost) http::RunAfter(takes, [done, result] { done(result); });
    });
  }

  template <class T>
  Result<T> Execute(const std::function<Result<T>()>& execute) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ExpireLeases();
    if (troubles_.down) return {ResultCode::kStoreUnavailable, {}};
    return execute();
  }

  void Poll(const std::string& prefix, int64_t revision, TimePoint until,
            store::StoreCallback<store::Changes> done) {
    http::RunAfter(kPollInterval, [this, prefix, revision, until, done = std::move(done)] {
      const auto result = Execute<store::Changes>([&] { return ChangesAfter(prefix, revision); });
      if (result.ok() && result.value.changes.empty() && Now() < until) {
        return Poll(prefix, revision, until, done);
      }
      done(result);
    });
  }

  // These require the lock.
  Result<store::Item> Read(const std::string& key) {
    const auto it = items_.find(key);
    if (it != items_.end()) return {{}, it->second};
    store::Item absent;
    absent.key = key;
    return {{}, absent};
  }

  Result<store::Changes> ChangesAfter(const std::string& prefix, int64_t revision) {
    if (revision < history_begin_) return {ResultCode::kNotFound, {}};
    store::Changes out;
    out.revision = revision_;
    for (auto it = history_.upper_bound(revision); it != history_.end(); ++it) {
      const bool fits = it->second.item.key.compare(0, prefix.size(), prefix) == 0;
      if (fits) out.changes.push_back(it->second);
    }
    return {{}, out};
  }

  Result<store::CommitResult> Apply(const store::Transaction& transaction) {
    store::CommitResult result;
    result.committed = true;
    for (const store::Condition& it : transaction.conditions) {
      result.existing.push_back(Read(it.key).value);
      result.committed = result.committed && result.existing.back().revision == it.revision;
    }
    if (!result.committed) return {{}, result};
    for (const store::Write& it : transaction.writes) {
      if (it.lease != 0 && lease_ends_.count(it.lease) == 0) return {ResultCode::kNotFound, {}};
    }
    result.existing.clear();
    result.revision = ++revision_;
    for (const store::Write& it : transaction.writes) {
      store::Item& item = items_[it.key];
      item.create_revision = item.revision == 0 ? revision_ : item.create_revision;
      item.key = it.key;
      item.value = it.value;
      item.revision = revision_;
      leases_[it.key] = it.lease;
      history_.emplace(revision_, store::Change{item, false});
    }
    for (const std::string& it : transaction.deletes) Erase(it);
    return {{}, result};
  }

  void Erase(const std::string& key) {
    if (items_.erase(key) == 0) return;
    store::Item gone;
    gone.key = key;
    gone.revision = revision_;
    history_.emplace(revision_, store::Change{gone, true});
  }

  void Drop(int64_t lease) {
    lease_ends_.erase(lease);
    revision_ += 1;
    for (const auto& [key, it] : leases_) {
      if (it == lease) Erase(key);
    }
  }

  void ExpireLeases() {
    std::vector<int64_t> ended;
    for (const auto& [id, it] : lease_ends_) {
      if (it.first <= Now()) ended.push_back(id);
    }
    for (const int64_t it : ended) Drop(it);
  }

  std::mutex mutex_;  // guards the members below; a leaf in every lock order
  std::mt19937_64 random_;
  StoreTroubles troubles_;
  std::map<std::string, store::Item> items_;
  std::map<std::string, int64_t> leases_;                         // by key; 0: none
  std::map<int64_t, std::pair<TimePoint, Duration>> lease_ends_;  // and the time to live
  std::multimap<int64_t, store::Change> history_;                 // by revision
  int64_t history_begin_ = 0;
  int64_t revision_ = 10;
  int64_t last_lease_ = 0;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_TESTS_ENTRY_TROUBLED_STORE_H_
