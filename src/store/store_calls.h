// The store calls that ShardLog uses, as replaceable functions.
#ifndef POMELOPOND_STORE_STORE_CALLS_H_
#define POMELOPOND_STORE_STORE_CALLS_H_

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "store/store_client.h"
#include "store/txn.h"

namespace pomelopond::store {

// The functions return the same results as those of StoreClient. Tests substitute functions that
// lose answers and deliver writes late.
struct StoreCalls {
  std::function<Result<KeyValue>(const std::string& key)> get;
  std::function<Result<TxnResult>(const Txn& txn)> commit;
  std::function<Result<std::vector<KeyValue>>(const std::string& first, const std::string& end,
                                              int64_t limit)>
      range;
};

// Returns functions that call `client`. `client` must outlive them.
inline StoreCalls CallsOf(StoreClient* client) {
  return {[client](const std::string& key) { return client->Get(key); },
          [client](const Txn& txn) { return client->Commit(txn); },
          [client](const std::string& first, const std::string& end, int64_t limit) {
            return client->Range(first, end, limit);
          }};
}

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_STORE_CALLS_H_
