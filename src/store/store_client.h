// Client of the platform's key-value store. It uses the etcd v3 JSON gateway.
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

// All calls block and must not run on a pool thread of the HTTP library. Errors: kStoreUnavailable
// if the store did not run the call, because it could not be reached or refused the call for its
// rate, kStoreAnswerLost if the call may or may not have taken effect, and kStoreBadAnswer if the
// answer violates the protocol.
class StoreClient {
 public:
  StoreClient(const Endpoint& endpoint, Duration timeout);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // Reads one key. `value.mod_revision` is 0 if the key does not exist.
  Result<KeyValue> Get(const std::string& key);

  // Reads the keys that start with `prefix`, in key order, at most `limit` of them (0: no limit).
  Result<std::vector<KeyValue>> List(const std::string& prefix, int64_t limit);

  // Reads the keys in [first, end), in key order, at most `limit` of them.
  Result<std::vector<KeyValue>> Range(const std::string& first, const std::string& end,
                                      int64_t limit);

  // Runs a transaction. `value.succeeded` is true if the comparisons held.
  Result<TxnResult> Commit(const Txn& txn);

  // Creates a lease of `ttl` in the store and returns its id.
  Result<int64_t> GrantLease(Duration ttl);
  // Renews a lease. Fails with kNotFound if the lease has expired.
  std::error_code KeepAlive(int64_t lease);
  std::error_code Revoke(int64_t lease);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_STORE_CLIENT_H_
