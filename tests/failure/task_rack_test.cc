// Failure tests of jobs in which the set of shards changes.
#include "tests/failure/task_jobs.h"

namespace pomelopond::support {
namespace {

// Returns the host list without the hosts of one rack.
membership::HostList WithoutRack(const membership::HostList& all, const std::string& rack) {
  membership::HostList list = all;
  for (const auto& [id, host] : all.hosts) {
    if (host.rack == rack) list.hosts.erase(id);
  }
  return list;
}

bool PutHosts(const Cluster& cluster, const membership::HostList& list) {
  const std::string body = membership::ToJson(list).dump();
  return Send(cluster.host_list(), "PUT", "/v1/hosts", body).response.status == 200;
}

bool AllShardsOwned(const Cluster& cluster, size_t shards) {
  size_t owned = 0;
  for (int n = 0; n < cluster.entry_hosts(); ++n) {
    const Json answer = Get(cluster.Scheduler(n), "/v1/shards");
    if (answer.is_object()) owned += answer.value("owned", Json::array()).size();
  }
  return owned == shards;
}

// Guards against a job that is accepted a second time, or no longer found, because a rack was added
// and the job id hashes to another shard since then.
TEST(TaskRackTest, AcceptanceStaysIdempotentWhenARackIsAdded) {
  ClusterOptions options = TaskClusterOptions(146);
  options.failure_domains = 1;
  options.racks_per_domain = 3;
  Cluster cluster(options);
  cluster.StartFakes();
  ASSERT_TRUE(PutHosts(cluster, WithoutRack(cluster.hosts(), "rack-2")));
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, kRunsUntilStopped, {0, 1, 2});
  ASSERT_TRUE(WaitForState(cluster, jobs, "running", 0));
  ASSERT_TRUE(PutHosts(cluster, cluster.hosts()));
  ASSERT_TRUE(WaitUntil([&cluster] { return AllShardsOwned(cluster, 3); }));
  EXPECT_EQ(SubmitJobs(cluster, 12, kRunsUntilStopped, {0, 1, 2}), jobs);
  ASSERT_TRUE(WaitForState(cluster, jobs, "running", 0));
  EXPECT_EQ(StartsByTask(cluster), OncePerTask(jobs));
}

}  // namespace
}  // namespace pomelopond::support
