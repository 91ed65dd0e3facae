// Failure tests of watches and drains that a release contains.
#include <gtest/gtest.h>

#include "tests/support/cluster.h"
#include "tests/support/release_calls.h"
#include "tests/support/runs.h"

namespace pomelopond::support {
namespace {

Json WatchJob(const Cluster& cluster) { return Get(cluster.Scheduler(0), "/v1/jobs/watch-1"); }

std::string HostOfWatch(const Cluster& cluster) {
  const Json job = WatchJob(cluster);
  return AllTasksAre("running", job) ? job["tasks"][0].value("host", "") : std::string();
}

// Guards against a watch of the release that never runs, that a drain ends or starts twice, that
// loses its checkpoint, or that continues to run after it was withdrawn.
TEST(ReleaseJobsTest, WatchIsRunMovedByADrainAndWithdrawn) {
  ClusterOptions options;
  options.net = 177;
  options.settings = {{"lease_ttl_ms", 6000}, {"exchange_interval_ms", 500}};
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const Json watch = {{"team", "team"}, {"need", {{"cpu_milli", 100}, {"memory_mb", 10}}}};
  ASSERT_TRUE(cluster.ApplyNote(
      {{"base", 1}, {"author", "test"}, {"add", {{"watches", {{"watch-1", watch}}}}}}));
  ASSERT_TRUE(WaitUntil([&cluster] { return !HostOfWatch(cluster).empty(); }));
  const std::string host = HostOfWatch(cluster);
  const Json drain = {{"kind", "host"}};
  ASSERT_TRUE(
      cluster.ApplyNote({{"base", 2}, {"author", "test"}, {"add", {{"drains", {{host, drain}}}}}}));
  EXPECT_TRUE(WaitUntil([&cluster, &host] {
    const std::string now = HostOfWatch(cluster);
    return !now.empty() && now != host;
  }));
  EXPECT_EQ(WatchJob(cluster)["tasks"][0].value("attempt", 0), 2);
  EXPECT_EQ(OverlappingRuns(cluster), std::vector<std::string>{});
  // After a drain and the kill of a scheduler, the successor must derive the withdrawal from the
  // stored state and the release alone.
  cluster.ProgramOf("scheduler", 1).Kill();
  ASSERT_TRUE(cluster.ApplyNote(
      {{"base", 3}, {"author", "test"}, {"withdraw", {{"watches", Json::array({"watch-1"})}}}}));
  cluster.StartProgram("scheduler", 1);
  EXPECT_TRUE(WaitUntil([&cluster] { return AllTasksAre("cancelled", WatchJob(cluster)); }));
  EXPECT_EQ(StartsByTask(cluster), (std::map<std::string, int>{{"watch-1/0", 2}}));
}

}  // namespace
}  // namespace pomelopond::support
