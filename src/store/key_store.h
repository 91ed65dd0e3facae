// The store that everything durable lives in, as the programs use it: keys with revisions,
// conditional transactions, leases and watches. Implementations are adapters and stand-ins.
#ifndef POMELOPOND_STORE_KEY_STORE_H_
#define POMELOPOND_STORE_KEY_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace pomelopond::store {

// One key with its value. Revision 0: the key does not exist.
struct Item {
  std::string key;
  std::string value;
  int64_t revision = 0;         // of its last change
  int64_t create_revision = 0;  // revision of its creation

  friend bool operator==(const Item& a, const Item& b) {
    return std::tie(a.key, a.value, a.revision, a.create_revision) ==
           std::tie(b.key, b.value, b.revision, b.create_revision);
  }
};

// Items in key order, and the store's revision when they were read.
struct Page {
  std::vector<Item> items;
  bool has_more = false;
  int64_t revision = 0;
};

// A change of one key: written when `deleted` is false.
struct Change {
  Item item;
  bool deleted = false;
};

// Changes after the revision that was asked for; continue from `revision`.
struct Changes {
  std::vector<Change> changes;
  int64_t revision = 0;
};

struct Condition {
  std::string key;
  int64_t revision = 0;  // the key's revision must be this; 0: the key must not exist
};

struct Write {
  std::string key;
  std::string value;
  int64_t lease = 0;  // 0: none
};

// All of it takes effect, or nothing.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  std::vector<std::string> deletes;
};

// The largest number of conditions, writes and removals in one transaction.
inline constexpr size_t kMaxTransactionEntries = 32;

struct CommitResult {
  bool committed = false;
  int64_t revision = 0;        // when committed
  std::vector<Item> existing;  // when a condition failed: the keys of the conditions as they are
};

struct Lease {
  int64_t id = 0;
  Duration ttl{};
};

template <class T>
using StoreCallback = std::function<void(Result<T>)>;

// All calls return at once; `done` runs once, later, on a thread of the implementation. Errors:
// kStoreUnavailable when nothing was done, kStoreAnswerLost when the call may have been carried out
// or may still be, kStoreBadAnswer for an answer that is not understood, kNotFound as stated.
class KeyStore {
 public:
  virtual ~KeyStore() = default;

  // The item; revision 0 when the key does not exist.
  virtual void Get(const std::string& key, StoreCallback<Item> done) = 0;

  // One page of the keys that start with `prefix` and come after the key `after`.
  virtual void List(const std::string& prefix, const std::string& after,
                    StoreCallback<Page> done) = 0;

  // Waits up to `wait` for changes of keys that start with `prefix` after `revision`. kNotFound:
  // that history is gone, so the keys must be listed again.
  virtual void Watch(const std::string& prefix, int64_t revision, Duration wait,
                     StoreCallback<Changes> done) = 0;

  // kNotFound: a lease of the writes has ended.
  virtual void Commit(const Transaction& transaction, Duration timeout,
                      StoreCallback<CommitResult> done) = 0;

  virtual void GrantLease(Duration ttl, StoreCallback<Lease> done) = 0;
  // kNotFound: the lease has ended.
  virtual void RenewLease(int64_t lease, StoreCallback<Lease> done) = 0;
  virtual void EndLease(int64_t lease, StoreCallback<Lease> done) = 0;
};

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_KEY_STORE_H_
