// Failure tests of release notes: concurrent operators, lost answers, outages and restarts.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "tests/support/cluster.h"
#include "tests/support/hostile_input.h"
#include "tests/support/release_calls.h"

namespace pomelopond::support {
namespace {

ClusterOptions SmallCluster(int net) {
  ClusterOptions options;
  options.net = net;
  options.hosts_per_rack = 1;
  return options;
}

// Guards against two concurrent notes on one base of which both, or neither, are reported as
// accepted, also when the store loses answers after its writes have taken effect.
TEST(ReleaseTest, OneOfTwoRacingNotesIsAccepted) {
  Cluster cluster(SmallCluster(170));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  int64_t version = 1;
  for (int round = 0; round < 10; ++round) {
    ASSERT_TRUE(SetFault(cluster.store(), {{"lose_answers", round % 3}}));
    std::atomic<int> accepted{0};
    std::atomic<int> refused{0};
    const auto race = [&](int host) {
      const Json note =
          AddService(version, "svc-" + std::to_string(round) + "-" + std::to_string(host));
      const http::HttpResult result = PostNote(cluster.Admin(host), note, false);
      accepted += result.response.status == 200 ? 1 : 0;
      refused += result.response.status == 409 ? 1 : 0;
    };
    std::thread other([&race] { race(1); });
    race(0);
    other.join();
    EXPECT_EQ(accepted.load(), 1) << round;
    EXPECT_EQ(refused.load(), 1) << round;
    version += 1;
    EXPECT_EQ(AdminVersion(cluster.Admin(0), true), version);
  }
}

// Guards against a release version that decreases in a process that was paused, restarted, or
// started during a store outage.
TEST(ReleaseTest, VersionsNeverGoBack) {
  Cluster cluster(SmallCluster(171));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  cluster.ProgramOf("admin", 2).Signal(SIGSTOP);
  ASSERT_EQ(PostNote(cluster.Admin(0), AddService(1, "second"), false).response.status, 200);
  cluster.ProgramOf("admin", 2).Signal(SIGCONT);
  EXPECT_TRUE(WaitUntil([&cluster] { return AdminVersion(cluster.Admin(2), false) == 2; }));
  ASSERT_TRUE(SetFault(cluster.store(), {{"outage", true}}));
  cluster.ProgramOf("admin", 1).Kill();
  cluster.ProgramOf("router", 1).Kill();
  cluster.StartProgram("admin", 1);
  cluster.StartProgram("router", 1);
  // An admin that starts during the outage reads the release from its peers.
  EXPECT_TRUE(WaitUntil([&cluster] { return RouterVersion(cluster.Router(1)) == 2; }));
  EXPECT_NE(PostNote(cluster.Admin(0), AddService(2, "third"), false).response.status, 200);
  ASSERT_TRUE(SetFault(cluster.store(), Json::object()));
  EXPECT_EQ(PostNote(cluster.Admin(1), AddService(2, "third"), false).response.status, 200);
  EXPECT_TRUE(WaitUntil([&cluster] { return RouterVersion(cluster.Router(0)) == 3; }));
}

// Guards against an admin that starts during a store outage and acts on an older release than its
// host held before, because it counts itself or other unconfirmed admins towards the majority.
TEST(ReleaseTest, AdminThatStartsInAnOutageNeedsAMajorityThatKnows) {
  Cluster cluster(SmallCluster(176));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  ASSERT_TRUE(SetFault(cluster.store(), {{"outage", true}}));
  for (const int n : {0, 1}) cluster.ProgramOf("admin", n).Kill();
  cluster.StartProgram("admin", 0);
  // One of the three admins is down and one has just started. The third alone is no majority: it
  // may have missed the last release.
  EXPECT_TRUE(WaitUntil([&cluster] { return AdminVersion(cluster.Admin(0), false) == 1; }));
  for (int n = 0; n < 100; ++n) {
    ASSERT_EQ(Send(cluster.Admin(0), "GET", "/readyz").response.status, 503);
  }
  ASSERT_TRUE(SetFault(cluster.store(), Json::object()));
  EXPECT_TRUE(WaitUntil(
      [&cluster] { return Send(cluster.Admin(0), "GET", "/readyz").response.status == 200; }));
}

// Guards against the loss of the release when all processes are replaced at the same time.
TEST(ReleaseTest, SurvivesReplacementOfAllProcesses) {
  Cluster cluster(SmallCluster(172));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  ASSERT_EQ(PostNote(cluster.Admin(0), AddService(1, "second"), false).response.status, 200);
  for (int n = 0; n < cluster.entry_hosts(); ++n) {
    for (const char* it : {"admin", "router", "scheduler"}) cluster.ProgramOf(it, n).Kill();
  }
  cluster.StartEntryHosts();
  for (int n = 0; n < cluster.entry_hosts(); ++n) {
    EXPECT_TRUE(WaitUntil([&cluster, n] { return RouterVersion(cluster.Router(n)) == 2; }));
  }
}

// Guards against a rebase that overwrites another operator's change.
TEST(ReleaseTest, OnlyNotesThatTouchOtherPartsAreRebased) {
  Cluster cluster(SmallCluster(173));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  ASSERT_EQ(PostNote(cluster.Admin(0), AddService(1, "second"), false).response.status, 200);
  EXPECT_EQ(PostNote(cluster.Admin(1), AddService(1, "second"), true).response.status, 409);
  EXPECT_EQ(PostNote(cluster.Admin(1), AddService(1, "third"), false).response.status, 409);
  EXPECT_EQ(PostNote(cluster.Admin(1), AddService(1, "third"), true).response.status, 200);
}

// Guards against accepting calls without a key, with an unknown key, or with too low a role.
TEST(ReleaseTest, KeysAndRolesAreChecked) {
  ClusterOptions options = SmallCluster(174);
  options.settings = {
      {"keys", Json::array({{{"name", "r"}, {"key", "reader"}, {"role", "read"}},
                            {{"name", "t"}, {"key", "test-key"}, {"role", "approve"}}})}};
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const auto status = [&cluster](const std::string& method, const std::string& key) {
    const std::string body = method == "POST" ? AddService(1, "x").dump() : "";
    return Send(cluster.Admin(0), method, "/v1/release", body, {{"Authorization", "Bearer " + key}})
        .response.status;
  };
  EXPECT_EQ(status("GET", "reader"), 200);
  EXPECT_EQ(status("POST", "reader"), 403);
  EXPECT_EQ(status("GET", "wrong"), 401);
  EXPECT_EQ(status("GET", ""), 401);
  EXPECT_EQ(status("POST", "test-key"), 200);
}

// Guards against hostile notes and calls that crash the admin, are taken for other calls, or change
// the release. An earlier version answered PUT and DELETE like GET.
TEST(ReleaseTest, HostileRequestsGetNumberedErrorsAndChangeNothing) {
  Cluster cluster(SmallCluster(175));
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  for (const http::HttpRequest& it : HostileRequests(60, 1, "test-key")) {
    const http::HttpResult result = Send(cluster.Admin(0), it.method, it.path, it.body, it.headers);
    const Result<Json> body = ParseJson(result.response.body);
    ASSERT_TRUE(body.ok() && body.value.is_object()) << it.method << " " << it.path;
    EXPECT_GE(body.value.value("code", 0), 100) << it.method << " " << it.path;
    EXPECT_EQ(result.response.status / 100, 4) << it.method << " " << it.path;
  }
  EXPECT_EQ(AdminVersion(cluster.Admin(0), true), 1);
}

}  // namespace
}  // namespace pomelopond::support
