#include "store/job_home.h"

#include "base/result_code.h"

namespace pomelopond::store {

std::string JobHomeKey(const std::string& job) { return "job-home/" + job; }

Txn MakeHomeShardClaim(const std::string& job, const std::string& shard) {
  Txn txn;
  txn.compares.push_back({JobHomeKey(job), 0});
  txn.puts.push_back({JobHomeKey(job), shard, 0});
  return txn;
}

Result<std::string> FindHomeShard(StoreClient* client, const std::string& job) {
  const Result<KeyValue> home = client->Get(JobHomeKey(job));
  if (!home.ok()) return {home.ec, {}};
  if (home.value.mod_revision == 0) return {ResultCode::kNotFound, {}};
  return {{}, home.value.value};
}

Result<std::string> ClaimHomeShard(StoreClient* client, const std::string& job,
                                   const std::string& proposed) {
  Result<std::string> home = FindHomeShard(client, job);
  if (home.ec != ResultCode::kNotFound) return home;
  const Result<TxnResult> claim = client->Commit(MakeHomeShardClaim(job, proposed));
  if (!claim.ok()) return {claim.ec, {}};
  if (claim.value.succeeded) return {{}, proposed};
  return FindHomeShard(client, job);
}

}  // namespace pomelopond::store
