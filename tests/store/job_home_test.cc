#include "store/job_home.h"

#include <gtest/gtest.h>

#include "fakes/store/key_space.h"

namespace pomelopond::store {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

bool Commit(fakes::KeySpace* keys, const Txn& txn) {
  const Result<Json> answer = keys->Txn(ToJson(txn), kStart);
  return answer.ok() && ParseTxnResult(answer.value).value.succeeded;
}

std::string HomeShardOf(fakes::KeySpace* keys, const std::string& job) {
  const Json request = {{"key", EncodeBase64(JobHomeKey(job))}};
  const auto values = ParseRangeResult(keys->Range(request, kStart).value).value;
  return values.empty() ? std::string() : values.front().value;
}

// Guards against a job that gets a second home shard, from a process that sees different racks or
// from a claim that takes effect late.
TEST(JobHomeTest, FirstClaimStands) {
  fakes::KeySpace keys;
  EXPECT_TRUE(Commit(&keys, MakeHomeShardClaim("job-1", "domain-0.rack-0")));
  EXPECT_FALSE(Commit(&keys, MakeHomeShardClaim("job-1", "domain-0.rack-2")));
  EXPECT_FALSE(Commit(&keys, MakeHomeShardClaim("job-1", "domain-0.rack-0")));
  EXPECT_EQ(HomeShardOf(&keys, "job-1"), "domain-0.rack-0");
}

// Guards against a claim for one job that blocks the claim for another job.
TEST(JobHomeTest, JobsHaveHomesOfTheirOwn) {
  fakes::KeySpace keys;
  EXPECT_TRUE(Commit(&keys, MakeHomeShardClaim("job-1", "domain-0.rack-0")));
  EXPECT_TRUE(Commit(&keys, MakeHomeShardClaim("job-10", "domain-0.rack-1")));
  EXPECT_EQ(HomeShardOf(&keys, "job-10"), "domain-0.rack-1");
}

}  // namespace
}  // namespace pomelopond::store
