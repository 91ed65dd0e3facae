// Failure tests of targets that leave. The bound of 2 s is measured by bench/leaving.cc.
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

  // Requests through all routers; each must be answered whole.
  void SendSome(int count) {
    for (int n = 0; n < count; ++n) {
      const http::HttpResult result =
          Send(cluster->Router(n % cluster->entry_hosts()), "POST", kQuote);
      EXPECT_FALSE(result.ec);
      EXPECT_EQ(result.response.status, 200) << result.response.body;
    }
  }

  int64_t Arrived() const {
    const Json counts = Get(cluster->Targets()[1], "/counts");
    return counts.is_null() ? -1 : counts["arrived_by_target"].value(ToString(leaving), int64_t{0});
  }

  // True when none of 60 requests has reached the leaving target.
  bool GetsNothing() {
    const int64_t before = Arrived();
    SendSome(60);
    return Arrived() == before;
  }

  // How often routers have received the host list or its absence since the call; several polls.
  static void WaitForPolls() { std::this_thread::sleep_for(std::chrono::seconds(3)); }

  std::unique_ptr<Cluster> cluster;
  Endpoint leaving;
};

// Guards against a host list that still says "live" and undoes the target's own word.
TEST_F(RequestLeavingTest, OwnWordHoldsAgainstALaggingHostList) {
  Start(120);
  ASSERT_TRUE(SetFault(leaving, {{"leaving", true}, {"only", ToString(leaving)}}));
  EXPECT_TRUE(WaitUntil([this] { return GetsNothing(); }));
  for (int n = 0; n < 3; ++n) {
    WaitForPolls();
    EXPECT_TRUE(GetsNothing());
  }
  // A newer list that changes another host still lags for this one.
  Send(cluster->host_list(), "POST", "/v1/hosts/state",
       Json({{"host", "worker-6"}, {"state", "leaving"}}).dump());
  WaitForPolls();
  EXPECT_TRUE(GetsNothing());
}

// Guards against callers that get the refusal of a leaving target in place of another's answer.
TEST_F(RequestLeavingTest, RefusalWithTheWordIsRetriedElsewhere) {
  Start(121);
  ASSERT_TRUE(
      SetFault(leaving, {{"leaving", true}, {"refuse", true}, {"only", ToString(leaving)}}));
  EXPECT_TRUE(WaitUntil([this] { return GetsNothing(); }));
  WaitForPolls();
  EXPECT_TRUE(GetsNothing());
}

// Guards against new work for a target that the host list calls leaving.
TEST_F(RequestLeavingTest, HostListEntryStopsNewWork) {
  Start(122);
  std::string host;
  for (const auto& [id, it] : cluster->hosts().hosts) {
    if (it.targets.front().endpoint == leaving) host = id;
  }
  Send(cluster->host_list(), "POST", "/v1/hosts/state",
       Json({{"host", host}, {"state", "leaving"}}).dump());
  EXPECT_TRUE(WaitUntil([this] { return GetsNothing(); }));
  WaitForPolls();
  EXPECT_TRUE(GetsNothing());
}

}  // namespace
}  // namespace pomelopond::support
