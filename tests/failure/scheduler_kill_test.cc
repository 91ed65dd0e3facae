// Failure tests in which a scheduler process is killed.
#include <gtest/gtest.h>

#include <map>

#include "tests/support/cluster.h"
#include "tests/support/runs.h"

namespace pomelopond::support {
namespace {

// Guards against loss of acknowledged jobs, and against two concurrent runs of a task, when the
// owner of their shard is killed.
TEST(SchedulerKillTest, AcknowledgedJobsFinishAndNothingRunsTwiceAtOnce) {
  ClusterOptions options;
  options.net = 100;
  options.settings = {
      {"lease_ttl_ms", 4000}, {"exchange_interval_ms", 500}, {"member_ttl_ms", 2000}};
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  std::vector<std::string> jobs;
  for (int n = 0; n < 12; ++n) {
    const std::string job = "job-" + std::to_string(n);
    const Json spec = {{"id", job},
                       {"team", "team"},
                       {"count", 4},
                       {"run_ms", 1500},
                       {"need", {{"cpu_milli", 500}, {"memory_mb", 10}}}};
    ASSERT_TRUE(WaitUntil([&cluster, &spec] {
      return Send(cluster.Scheduler(1), "POST", "/v1/jobs", spec.dump()).response.status == 200;
    }));
    jobs.push_back(job);
  }
  cluster.ProgramOf("scheduler", 0).Kill();
  for (const std::string& job : jobs) {
    EXPECT_TRUE(WaitUntil([&cluster, &job] {
      return AllTasksAre("finished", Get(cluster.Scheduler(1), "/v1/jobs/" + job));
    })) << job;
  }
  EXPECT_EQ(OverlappingRuns(cluster), std::vector<std::string>{});
  EXPECT_TRUE(CapacityHeld(cluster));
}

}  // namespace
}  // namespace pomelopond::support
