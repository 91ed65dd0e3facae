// Failure tests of leaving targets. bench/leaving.cc measures the bound of 2 s within which new
// requests to a leaving target must end.
#include <gtest/gtest.h>

#include <thread>

#include "tests/support/cluster.h"

namespace pomelopond::support {
namespace {

constexpr const char* kQuote = "/v1/services/svc/quote";

struct RequestLeavingTest : testing::Test {
  void Start(int net) {
    ClusterOptions options;
    options.net = net;
    options.entry_hosts = 2;
    cluster = std::make_unique<Cluster>(options);
    cluster->StartFakes();
    cluster->StartEntryHosts();
    ASSERT_TRUE(cluster->PutDefaultReleaseInForce());
    leaving = cluster->Targets()[0];
  }

  // Sends requests through all routers in turn and expects a complete answer to each.
  void SendRequests(int count) {
    for (int n = 0; n < count; ++n) {
      const http::HttpResult result =
          Send(cluster->Router(n % cluster->entry_hosts()), "POST", kQuote);
      EXPECT_FALSE(result.ec);
      EXPECT_EQ(result.response.status, 200) << result.response.body;
    }
  }

  int64_t ArrivedCount() const {
    const Json counts = Get(cluster->Targets()[1], "/counts");
    return counts.is_null() ? -1 : counts["arrived_by_target"].value(ToString(leaving), int64_t{0});
  }

  // Returns true if none of 60 requests reaches the leaving target.
  bool ReceivesNoRequests() {
    const int64_t before = ArrivedCount();
    SendRequests(60);
    return ArrivedCount() == before;
  }

  // Waits until the routers have polled the host list several times, successfully or not.
  static void WaitForPolls() { std::this_thread::sleep_for(std::chrono::seconds(3)); }

  std::unique_ptr<Cluster> cluster;
  Endpoint leaving;
};

// Guards against a host list that still shows the target as live and overrides the target's own
// announcement that it is leaving.
TEST_F(RequestLeavingTest, OwnWordHoldsAgainstALaggingHostList) {
  Start(120);
  ASSERT_TRUE(SetFault(leaving, {{"leaving", true}, {"only", ToString(leaving)}}));
  EXPECT_TRUE(WaitUntil([this] { return ReceivesNoRequests(); }));
  for (int n = 0; n < 3; ++n) {
    WaitForPolls();
    EXPECT_TRUE(ReceivesNoRequests());
  }
  // A newer host list that changes another host is still out of date for this one.
  Send(cluster->host_list(), "POST", "/v1/hosts/state",
       Json({{"host", "worker-6"}, {"state", "leaving"}}).dump());
  WaitForPolls();
  EXPECT_TRUE(ReceivesNoRequests());
}

// Guards against returning the refusal of a leaving target to the caller instead of retrying on
// another target.
TEST_F(RequestLeavingTest, RefusalWithTheWordIsRetriedElsewhere) {
  Start(121);
  ASSERT_TRUE(
      SetFault(leaving, {{"leaving", true}, {"refuse", true}, {"only", ToString(leaving)}}));
  EXPECT_TRUE(WaitUntil([this] { return ReceivesNoRequests(); }));
  WaitForPolls();
  EXPECT_TRUE(ReceivesNoRequests());
}

// Guards against new requests to a target that the host list shows as leaving.
TEST_F(RequestLeavingTest, HostListEntryStopsNewWork) {
  Start(122);
  std::string host;
  for (const auto& [id, it] : cluster->hosts().hosts) {
    if (it.targets.front().endpoint == leaving) host = id;
  }
  Send(cluster->host_list(), "POST", "/v1/hosts/state",
       Json({{"host", host}, {"state", "leaving"}}).dump());
  EXPECT_TRUE(WaitUntil([this] { return ReceivesNoRequests(); }));
  WaitForPolls();
  EXPECT_TRUE(ReceivesNoRequests());
}

}  // namespace
}  // namespace pomelopond::support
