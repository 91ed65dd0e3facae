// The home shard of a job in the store: the shard whose journal holds the job for good, however the
// racks change after the job was accepted.
#ifndef POMELOPOND_STORE_JOB_HOME_H_
#define POMELOPOND_STORE_JOB_HOME_H_

#include <string>

#include "base/result.h"
#include "store/store_client.h"
#include "store/txn.h"

namespace pomelopond::store {

std::string JobHomeKey(const std::string& job);

// Makes `shard` the home of the job, unless it has one already.
Txn MakeHomeShardClaim(const std::string& job, const std::string& shard);

// The home of the job; kNotFound when it has none. Blocks, with the errors of StoreClient.
Result<std::string> FindHomeShard(StoreClient* client, const std::string& job);

// The home of the job; `proposed` becomes it when the job has none. A claim whose answer is lost
// may still take effect, but accepts no job, so it can be repeated at any time. Blocks, with the
// errors of StoreClient.
Result<std::string> ClaimHomeShard(StoreClient* client, const std::string& job,
                                   const std::string& proposed);

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_JOB_HOME_H_
