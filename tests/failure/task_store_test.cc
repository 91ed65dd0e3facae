// Failure tests of tasks in which the store is unavailable, slow or loses answers.
#include <thread>

#include "tests/failure/task_jobs.h"

namespace pomelopond::support {
namespace {

constexpr Duration kTwoLeases = std::chrono::seconds(12);

// Applies the store fault for longer than the run lease and checks that it stops no task.
void ExpectNothingStoppedBy(const Json& fault, int net) {
  Cluster cluster(TaskClusterOptions(net));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, kRunsUntilStopped, {0, 1, 2});
  ASSERT_TRUE(WaitForState(cluster, jobs, "running", 0));
  ASSERT_TRUE(SetFault(cluster.store(), fault));
  std::this_thread::sleep_for(kTwoLeases);
  const http::HttpResult refused =
      Send(cluster.Scheduler(0), "POST", "/v1/jobs", MakeJobSpec("late", kRunsUntilStopped).dump());
  EXPECT_NE(refused.response.status, 200);
  ASSERT_TRUE(SetFault(cluster.store(), Json::object()));
  // The refused job can be submitted again with the same id, and did not run in the meantime.
  EXPECT_TRUE(Submit(cluster, MakeJobSpec("late", kRunsUntilStopped), {0, 1, 2}));
  EXPECT_TRUE(WaitForState(cluster, {"late"}, "running", 0));
  std::vector<std::string> all = jobs;
  all.push_back("late");
  EXPECT_EQ(CountRunsWith(cluster, "state", "running"), OncePerTask(all));
  EXPECT_EQ(StartsByTask(cluster), OncePerTask(all));
  ExpectInvariantsHold(cluster);
}

// Guards against tasks that are stopped because the store refuses all calls.
TEST(TaskStoreTest, OutageLongerThanTheLeaseStopsNothing) {
  ExpectNothingStoppedBy({{"outage", true}}, 140);
}

// Guards against tasks that are stopped because the store accepts calls and never answers.
TEST(TaskStoreTest, HangLongerThanTheLeaseStopsNothing) {
  ExpectNothingStoppedBy({{"hang", true}}, 141);
}

// Guards against tasks that are stopped because every store call times out.
TEST(TaskStoreTest, SlowStoreStopsNothing) { ExpectNothingStoppedBy({{"latency_ms", 1500}}, 142); }

// Guards against a state given as present by an owner that may have been replaced long ago.
TEST(TaskStoreTest, StateShownDuringAnOutageTellsItsAge) {
  Cluster cluster(TaskClusterOptions(147));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 1, kRunsUntilStopped, {0});
  ASSERT_TRUE(WaitForState(cluster, jobs, "running", 0));
  ASSERT_TRUE(SetFault(cluster.store(), {{"outage", true}}));
  constexpr int64_t kOutageMs = 4000;
  std::this_thread::sleep_for(std::chrono::milliseconds(kOutageMs));
  const http::HttpResult shown =
      Send(cluster.Scheduler(0), "GET", "/v1/jobs/" + jobs.front(), std::string());
  ASSERT_EQ(shown.response.status, 200);
  EXPECT_GE(Json::parse(shown.response.body).at("confirmed_ms").get<int64_t>(), kOutageMs);
  ASSERT_TRUE(SetFault(cluster.store(), Json::object()));
}

// Guards against a job that is created twice, or not at all, when the store's answers are lost
// after the write took effect and the caller repeats the submission with the same id.
TEST(TaskStoreTest, LostAnswersCreateEachJobOnce) {
  Cluster cluster(TaskClusterOptions(143));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  std::vector<std::string> jobs;
  for (int n = 0; n < 12; ++n) {
    const Json fault = n % 2 == 0 ? Json{{"lose_answers", 3}} : Json{{"hang_answers", 2}};
    ASSERT_TRUE(SetFault(cluster.store(), fault));
    jobs.push_back("job-" + std::to_string(n));
    EXPECT_TRUE(Submit(cluster, MakeJobSpec(jobs.back(), 1000), {n % 3}));
  }
  ASSERT_TRUE(SetFault(cluster.store(), Json::object()));
  EXPECT_TRUE(WaitForState(cluster, jobs, "finished", 0));
  EXPECT_EQ(CountRunsWith(cluster, "state", "finished"), OncePerTask(jobs));
  ExpectInvariantsHold(cluster);
}

// Guards against a takeover that loses jobs or runs tasks twice when the answers to its own writes
// are lost.
TEST(TaskStoreTest, TakeoverWithLostAnswersKeepsEveryPromise) {
  Cluster cluster(TaskClusterOptions(144));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, 8000, {0, 1, 2});
  ASSERT_TRUE(SetFault(cluster.store(), {{"hang_answers", 8}}));
  cluster.ProgramOf("scheduler", 0).Kill();
  EXPECT_TRUE(WaitForState(cluster, jobs, "finished", 1));
  EXPECT_EQ(CountRunsWith(cluster, "state", "finished"), OncePerTask(jobs));
  ExpectInvariantsHold(cluster);
}

// Guards against loss of jobs when the owner of their shard is killed during an outage of the
// store.
TEST(TaskStoreTest, OwnerKilledInAnOutage) {
  Cluster cluster(TaskClusterOptions(145));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const std::vector<std::string> jobs = SubmitJobs(cluster, 12, 5000, {0, 1, 2});
  ASSERT_TRUE(SetFault(cluster.store(), {{"hang", true}}));
  cluster.ProgramOf("scheduler", 1).Kill();
  std::this_thread::sleep_for(kTwoLeases);
  ASSERT_TRUE(SetFault(cluster.store(), Json::object()));
  EXPECT_TRUE(WaitForState(cluster, jobs, "finished", 0));
  EXPECT_EQ(CountRunsWith(cluster, "state", "finished"), OncePerTask(jobs));
  ExpectInvariantsHold(cluster);
}

}  // namespace
}  // namespace pomelopond::support
