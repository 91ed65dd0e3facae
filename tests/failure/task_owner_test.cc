// Failure tests in which the owner of the tasks' shard is killed, paused or replaced.
#include <signal.h>

#include <thread>

#include "tests/failure/task_jobs.h"

namespace pomelopond::support {
namespace {

constexpr Duration kLeaseAndMargin = std::chrono::milliseconds(7200);  // lease of 6 s x 1.02 + 1 s

// Returns a host whose scheduler owns at least one shard, or 0 if there is none.
int FindShardOwner(const Cluster& cluster) {
  for (int n = 0; n < cluster.entry_hosts(); ++n) {
    if (!OwnedShards(cluster, n).empty()) return n;
  }
  return 0;
}

std::vector<int> OtherHosts(const Cluster& cluster, int host) {
  std::vector<int> others;
  for (int n = 0; n < cluster.entry_hosts(); ++n) {
    if (n != host) others.push_back(n);
  }
  return others;
}

// Guards against tasks that are lost, run twice at once or resume twice. Their owner is paused
// until its membership lease has expired and another scheduler has replaced it, and then continues.
TEST(TaskOwnerTest, PausedOwnerThatResumesRunsNothingTwice) {
  Cluster cluster(TaskClusterOptions(130));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, 8000, {0, 1, 2});
  const int owner = FindShardOwner(cluster);
  const std::map<std::string, int64_t> shards = OwnedShards(cluster, owner);
  cluster.ProgramOf("scheduler", owner).Signal(SIGSTOP);
  const std::vector<int> others = OtherHosts(cluster, owner);
  EXPECT_TRUE(WaitUntil([&] { return AllShardsOwnedBy(cluster, shards, others); }));
  cluster.ProgramOf("scheduler", owner).Signal(SIGCONT);
  EXPECT_TRUE(WaitForState(cluster, jobs, "finished", others[0]));
  EXPECT_EQ(CountRunsWith(cluster, "state", "finished"), OncePerTask(jobs));
  ExpectInvariantsHold(cluster);
}

// Guards against a new owner that treats the lease of a worker it cannot reach as expired while the
// previous owner may still renew it. Also guards against a new owner that keeps waiting after the
// previous owner has answered the fence message.
TEST(TaskOwnerTest, UnreachableWorkerWaitsForProofThatThePausedOwnerStopped) {
  Cluster cluster(TaskClusterOptions(131));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, kRunsUntilStopped, {0, 1, 2});
  ASSERT_TRUE(WaitForState(cluster, jobs, "running", 0));
  const int owner = FindShardOwner(cluster);
  const std::map<std::string, int64_t> shards = OwnedShards(cluster, owner);
  // Makes a worker that runs tasks of one of the owner's shards answer the current epoch only.
  Endpoint cut_off;
  std::vector<std::string> tasks;
  for (const auto& [id, info] : cluster.hosts().hosts) {
    const auto shard = shards.find(info.failure_domain + "." + info.rack);
    if (shard == shards.end() || !tasks.empty()) continue;
    cut_off = info.worker;
    ASSERT_TRUE(SetFault(cut_off, {{"cut_off_from_epoch", shard->second + 1}}));
    const Json answer = Get(cut_off, "/runs");
    for (const Json& it : answer["runs"]) tasks.push_back(it["task"]);
    if (!tasks.empty()) continue;
    ASSERT_TRUE(SetFault(cut_off, Json::object()));
  }
  ASSERT_FALSE(tasks.empty());
  cluster.ProgramOf("scheduler", owner).Signal(SIGSTOP);
  const std::vector<int> others = OtherHosts(cluster, owner);
  ASSERT_TRUE(WaitUntil([&] { return AllShardsOwnedBy(cluster, shards, others); }));
  std::this_thread::sleep_for(kLeaseAndMargin * 2);
  const std::map<std::string, int> waiting = StartsByTask(cluster);
  for (const std::string& it : tasks) EXPECT_EQ(waiting.at(it), 1) << it;
  cluster.ProgramOf("scheduler", owner).Signal(SIGCONT);
  EXPECT_TRUE(WaitUntil([&] {
    const std::map<std::string, int> starts = StartsByTask(cluster);
    return std::all_of(tasks.begin(), tasks.end(),
                       [&starts](const std::string& it) { return starts.at(it) == 2; });
  }));
  ExpectInvariantsHold(cluster);
}

// Guards against jobs that are lost or run twice when all schedulers are killed and restarted.
TEST(TaskOwnerTest, AllSchedulersReplacedAtOnce) {
  Cluster cluster(TaskClusterOptions(132));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, 5000, {0, 1, 2});
  for (int n = 0; n < cluster.entry_hosts(); ++n) cluster.ProgramOf("scheduler", n).Kill();
  for (int n = 0; n < cluster.entry_hosts(); ++n) cluster.StartProgram("scheduler", n);
  EXPECT_TRUE(WaitForState(cluster, jobs, "finished", 0));
  EXPECT_EQ(CountRunsWith(cluster, "state", "finished"), OncePerTask(jobs));
  ExpectInvariantsHold(cluster);
}

// Guards against a shard that no scheduler takes over after the write of its owner's handover
// record failed. The owner is alive, but answers that it has stopped.
TEST(TaskOwnerTest, FenceOfAnUnownedShardIsAnsweredWithStopped) {
  Cluster cluster(TaskClusterOptions(133));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  // Waits until all schedulers have joined: the first one to start owns all three shards until
  // then.
  ASSERT_TRUE(WaitUntil([&] {
    return OwnedShards(cluster, 0).size() == 1 && OwnedShards(cluster, 1).size() == 1 &&
           OwnedShards(cluster, 2).size() == 1;
  }));
  const int owner = 0;
  const std::map<std::string, int64_t> first = OwnedShards(cluster, owner);
  const std::string shard = first.begin()->first;
  const int64_t epoch = first.begin()->second;
  const auto fence = [&](int64_t at) {
    const http::HttpResult result = Send(cluster.Scheduler(owner), "POST", "/v1/fence",
                                         Json{{"shard", shard}, {"epoch", at}}.dump());
    return result.response.status == 200 &&
           ParseJson(result.response.body).value["stopped"] == true;
  };
  EXPECT_FALSE(fence(epoch));
  EXPECT_EQ(OwnedShards(cluster, owner).count(shard), 1u);
  EXPECT_TRUE(fence(epoch + 1));
  // The scheduler takes the shard over again, at an epoch above the one in its answer.
  EXPECT_TRUE(WaitUntil([&] {
    const std::map<std::string, int64_t> owned = OwnedShards(cluster, owner);
    return owned.count(shard) != 0 && owned.at(shard) > epoch + 1;
  }));
}

}  // namespace
}  // namespace pomelopond::support
