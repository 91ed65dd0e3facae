// Client of the platform's key-value store, over the etcd v3 JSON gateway.
#ifndef POMELOPOND_STORE_STORE_CLIENT_H_
#define POMELOPOND_STORE_STORE_CLIENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "base/time.h"
#include "store/txn.h"

namespace pomelopond::store {

// All calls block; they must not run on a pool thread of the http library. Errors:
// kStoreUnavailable when nothing was sent, kStoreAnswerLost when the call may or may not have taken
// effect, kStoreBadAnswer when the answer is not what the protocol says.
class StoreClient {
 public:
  StoreClient(const Endpoint& endpoint, Duration timeout);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // The value of a key; `value.mod_revision` is 0 when there is none.
  Result<KeyValue> Get(const std::string& key);

  // All keys that start with `prefix`, in order, at most `limit` (0: no limit).
  Result<std::vector<KeyValue>> List(const std::string& prefix, int64_t limit);

  // The keys in [first, end), in order, at most `limit`.
  Result<std::vector<KeyValue>> Range(const std::string& first, const std::string& end,
                                      int64_t limit);

  // Runs a transaction; `value.succeeded` tells whether the comparisons held.
  Result<TxnResult> Commit(const Txn& txn);

  // A store lease of `ttl`; the value is its id.
  Result<int64_t> GrantLease(Duration ttl);
  // Renews a lease; kNotFound when it has lapsed.
  std::error_code KeepAlive(int64_t lease);
  std::error_code Revoke(int64_t lease);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_STORE_CLIENT_H_
