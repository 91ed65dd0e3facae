// Interface of the key-value store that holds all durable state: keys with revisions, conditional
// transactions, leases and watches. It is implemented by adapters to a real store and by test
// fakes.
#ifndef POMELOPOND_STORE_KEY_STORE_H_
#define POMELOPOND_STORE_KEY_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace pomelopond::store {

// A key with its value.
struct Item {
  std::string key;
  std::string value;
  int64_t revision = 0;         // revision of the last change; 0: the key does not exist
  int64_t create_revision = 0;  // revision at which the key was created

  friend bool operator==(const Item& a, const Item& b) {
    return std::tie(a.key, a.value, a.revision, a.create_revision) ==
           std::tie(b.key, b.value, b.revision, b.create_revision);
  }
};

// One page of a listing, in key order.
struct Page {
  std::vector<Item> items;
  bool has_more = false;  // whether keys follow after the last item
  int64_t revision = 0;   // revision of the store when the items were read
};

// A change of one key.
struct Change {
  Item item;
  bool deleted = false;  // true: the key was deleted; false: it was written
};

// The changes after the revision that a watch starts from.
struct Changes {
  std::vector<Change> changes;
  int64_t revision = 0;  // revision to pass to the next watch
};

// A condition on the revision of one key.
struct Condition {
  std::string key;
  int64_t revision = 0;  // required revision of the key; 0: the key must not exist
};

struct Write {
  std::string key;
  std::string value;
  int64_t lease = 0;  // id of the lease that the key is attached to; 0: no lease
};

// Writes and deletes that take effect atomically, and only if all conditions hold.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  std::vector<std::string> deletes;  // keys to delete
};

// The largest number of conditions, writes and deletes in one transaction.
inline constexpr size_t kMaxTransactionEntries = 32;

struct CommitResult {
  bool committed = false;
  int64_t revision = 0;        // revision of the commit; set if `committed`
  std::vector<Item> existing;  // current items of the conditions' keys; set if a condition failed
};

struct Lease {
  int64_t id = 0;
  Duration ttl{};
};

template <class T>
using StoreCallback = std::function<void(Result<T>)>;

// All calls are asynchronous: they return immediately, and `done` runs exactly once, later, on a
// thread of the implementation. Errors: kStoreUnavailable if the call had no effect,
// kStoreAnswerLost if the call may have taken effect or may still do so, kStoreBadAnswer if the
// store's answer cannot be parsed, kStoreRejected if the store will never accept the call, for its
// size or form, and kNotFound as described at each call.
class KeyStore {
 public:
  virtual ~KeyStore() = default;

  // Reads one key. The item has revision 0 if the key does not exist.
  virtual void Get(const std::string& key, StoreCallback<Item> done) = 0;

  // As Get(), but the item may be some seconds old, for a tenth of the cost.
  virtual void GetStale(const std::string& key, StoreCallback<Item> done) {
    Get(key, std::move(done));
  }

  // Reads one page of the keys that start with `prefix` and sort after the key `after`.
  virtual void List(const std::string& prefix, const std::string& after,
                    StoreCallback<Page> done) = 0;

  // Waits up to `wait` for changes after `revision` to keys that start with `prefix`. Fails with
  // kNotFound if the store no longer has the history since `revision`; the caller must then list
  // the keys again.
  virtual void Watch(const std::string& prefix, int64_t revision, Duration wait,
                     StoreCallback<Changes> done) = 0;

  // Commits a transaction. Fails with kNotFound if a lease that the writes refer to has ended.
  virtual void Commit(const Transaction& transaction, Duration timeout,
                      StoreCallback<CommitResult> done) = 0;

  virtual void GrantLease(Duration ttl, StoreCallback<Lease> done) = 0;
  // Fails with kNotFound if the lease has ended.
  virtual void RenewLease(int64_t lease, StoreCallback<Lease> done) = 0;
  virtual void EndLease(int64_t lease, StoreCallback<Lease> done) = 0;
};

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_KEY_STORE_H_
