// The store calls that a shard's log needs.
#ifndef POMELOPOND_STORE_STORE_CALLS_H_
#define POMELOPOND_STORE_STORE_CALLS_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "store/store_client.h"
#include "store/txn.h"

namespace pomelopond::store {

// Same results as StoreClient::Get and StoreClient::Commit. Tests put other functions in their
// place, to lose answers and to deliver writes late.
struct StoreCalls {
  std::function<Result<KeyValue>(const std::string& key)> get;
  std::function<Result<TxnResult>(const Txn& txn)> commit;
};

// Calls of `client`, which must outlive them.
inline StoreCalls CallsOf(StoreClient* client) {
  return {[client](const std::string& key) { return client->Get(key); },
          [client](const Txn& txn) { return client->Commit(txn); }};
}

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_STORE_CALLS_H_
