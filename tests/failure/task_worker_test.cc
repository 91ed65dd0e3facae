// Failure tests of tasks whose worker restarts, is cut off or fails all starts.
#include "tests/failure/task_jobs.h"

namespace pomelopond::support {
namespace {

// Guards against tasks that are lost when their worker restarts and loses its memory, and against
// tasks on other workers that are resumed as well.
TEST(TaskWorkerTest, RestartedWorkersTasksResumeOnce) {
  Cluster cluster(TaskClusterOptions(150));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, kRunsUntilStopped, {0, 1, 2});
  ASSERT_TRUE(WaitForState(cluster, jobs, "running", 0));
  const Endpoint worker = cluster.Workers()[0];
  std::map<std::string, int> starts = OncePerTask(jobs);
  const Json runs = Get(worker, "/runs");
  ASSERT_FALSE(runs["runs"].empty());
  for (const Json& it : runs["runs"]) starts[it["task"]] = 2;
  ASSERT_EQ(Send(worker, "POST", "/restart").response.status, 200);
  EXPECT_TRUE(
      WaitUntil([&] { return CountRunsWith(cluster, "state", "running") == OncePerTask(jobs); }));
  EXPECT_TRUE(WaitForState(cluster, jobs, "running", 0));
  EXPECT_EQ(StartsByTask(cluster), starts);
  ExpectInvariantsHold(cluster);
}

// Guards against tasks that keep running on a cut-off worker while they resume elsewhere, and
// against tasks that remain on that worker when it returns.
TEST(TaskWorkerTest, CutOffWorkersTasksResumeElsewhereAfterTheLease) {
  Cluster cluster(TaskClusterOptions(151));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, kRunsUntilStopped, {0, 1, 2});
  ASSERT_TRUE(WaitForState(cluster, jobs, "running", 0));
  const Endpoint worker = cluster.Workers()[0];
  ASSERT_TRUE(SetFault(worker, {{"cut_off", true}}));
  EXPECT_TRUE(WaitUntil([&] {
    const Json runs = Get(worker, "/runs")["runs"];
    const bool stopped = std::all_of(runs.begin(), runs.end(),
                                     [](const Json& it) { return it["state"] == "stopped"; });
    return stopped && CountRunsWith(cluster, "state", "running") == OncePerTask(jobs);
  }));
  ASSERT_TRUE(SetFault(worker, Json::object()));
  EXPECT_TRUE(WaitForState(cluster, jobs, "running", 0));
  EXPECT_EQ(CountRunsWith(cluster, "state", "running"), OncePerTask(jobs));
  ExpectInvariantsHold(cluster);
}

// Guards against a burst of cancellations that leaves tasks running or blocks other jobs, while one
// worker fails every task that it starts.
TEST(TaskWorkerTest, CancellationWaveWithAFailingWorker) {
  Cluster cluster(TaskClusterOptions(152));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 20, kRunsUntilStopped, {0, 1, 2});
  ASSERT_TRUE(SetFault(cluster.Workers()[0], {{"fail_starts", true}}));
  for (const std::string& it : jobs) {
    EXPECT_TRUE(WaitUntil([&] {
      return Send(cluster.Scheduler(0), "POST", "/v1/jobs/" + it + "/cancel").response.status ==
             200;
    }));
  }
  EXPECT_TRUE(WaitUntil([&] { return CountRunsWith(cluster, "state", "running").empty(); }));
  ASSERT_TRUE(SetFault(cluster.Workers()[0], Json::object()));
  Json after = MakeJobSpec("after", 500);
  EXPECT_TRUE(Submit(cluster, after, {0, 1, 2}));
  EXPECT_TRUE(WaitForState(cluster, {"after"}, "finished", 0));
  ExpectInvariantsHold(cluster);
}

// Guards against a scheduler that gives up or repeats tasks because the host list lags. The worker
// of a host is cut off, and the host list shows the host as gone only later.
TEST(TaskWorkerTest, LaggingHostListRepeatsNothing) {
  Cluster cluster(TaskClusterOptions(153));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  ASSERT_TRUE(SetFault(cluster.host_list(), {{"lag_ms", 4000}}));
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, 3000, {0, 1, 2});
  const std::string host = cluster.hosts().hosts.begin()->first;
  ASSERT_TRUE(SetFault(cluster.hosts().hosts.begin()->second.worker, {{"cut_off", true}}));
  EXPECT_EQ(Send(cluster.host_list(), "POST", "/v1/hosts/state",
                 Json{{"host", host}, {"state", "gone"}}.dump())
                .response.status,
            200);
  EXPECT_TRUE(WaitForState(cluster, jobs, "finished", 0));
  ExpectInvariantsHold(cluster);
}

}  // namespace
}  // namespace pomelopond::support
