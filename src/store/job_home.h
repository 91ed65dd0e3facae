// Finds and claims the home shard of a job: the shard whose journal stores the job. The home shard
// stays the same when the racks change after the job was accepted.
#ifndef POMELOPOND_STORE_JOB_HOME_H_
#define POMELOPOND_STORE_JOB_HOME_H_

#include <string>

#include "base/result.h"
#include "store/store_client.h"
#include "store/txn.h"

namespace pomelopond::store {

std::string JobHomeKey(const std::string& job);

// Returns the transaction that makes `shard` the home shard of `job`, unless the job already has
// one.
Txn MakeHomeShardClaim(const std::string& job, const std::string& shard);

// Returns the home shard of the job, or kNotFound if it has none. Blocks on the store and fails
// with the errors of StoreClient.
Result<std::string> FindHomeShard(StoreClient* client, const std::string& job);

// Returns the home shard of the job. If the job has none, `proposed` becomes its home shard. A
// claim whose answer is lost may still take effect. Because a claim does not accept the job, it can
// be repeated at any time. Blocks on the store and fails with the errors of StoreClient.
Result<std::string> ClaimHomeShard(StoreClient* client, const std::string& job,
                                   const std::string& proposed);

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_JOB_HOME_H_
