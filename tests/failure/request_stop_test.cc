// Failure tests of planned stops of routers.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "tests/support/cluster.h"
#include "tests/support/raw_client.h"

namespace pomelopond::support {
namespace {

constexpr Duration kLong = std::chrono::seconds(60);

http::HttpRequest Quote() {
  http::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/services/svc/quote";
  return request;
}

struct RequestStopTest : testing::Test {
  void Start(int net, int64_t service_ms) {
    ClusterOptions options;
    options.net = net;
    options.entry_hosts = 1;
    options.service_ms = service_ms;
    cluster = std::make_unique<Cluster>(options);
    cluster->StartFakes();
    cluster->StartEntryHosts();
    ASSERT_TRUE(cluster->PutDefaultReleaseInForce());
  }

  std::unique_ptr<Cluster> cluster;
};

// Guards against a stop that cuts requests in progress.
TEST_F(RequestStopTest, RequestsInProgressGetTheirAnswersAndTheExitStatusIsZero) {
  Start(118, 6000);  // longer than the drain grace
  std::atomic<int> whole{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < 10; ++n) {
    threads.emplace_back([this, &whole] {
      RawClient client(cluster->Router(0));
      const auto response = client.Call(Quote(), kLong);
      if (response && response->status == 200) whole.fetch_add(1);
    });
  }
  EXPECT_TRUE(WaitUntil([this] {
    const Json counts = Get(cluster->Targets().front(), "/counts");
    return !counts.is_null() && counts["runs"].value("", 0) == 10;
  }));
  cluster->ProgramOf("router", 0).Signal(SIGTERM);
  EXPECT_EQ(cluster->ProgramOf("router", 0).Wait(kWaitLimit), 0);
  for (std::thread& it : threads) it.join();
  EXPECT_EQ(whole.load(), 10);
}

// Guards against the loss of a request that arrives on a kept-alive connection while the listener
// closes: each answer of a stopping router closes its connection, so that no caller has an open one
// to send on at that moment.
TEST_F(RequestStopTest, StoppingRouterClosesKeptAliveConnectionsWithTheirNextAnswer) {
  Start(119, 1);
  std::atomic<int> cut{0};
  std::atomic<int> whole{0};
  std::atomic<int> closed{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < 8; ++n) {
    threads.emplace_back([this, &cut, &whole, &closed] {
      RawClient client(cluster->Router(0));
      // Ends when the router refuses the connection, as a balancer's callers go elsewhere.
      while (client.Connect()) {
        const auto response = client.Call(Quote(), kLong);
        if (!response) {
          cut.fetch_add(1);
          return;
        }
        whole.fetch_add(1);
        if (http::HeaderOf(response->headers, "Connection") == "close") {
          closed.fetch_add(1);
          return;
        }
      }
    });
  }
  EXPECT_TRUE(WaitUntil([&whole] { return whole.load() > 100; }));
  cluster->ProgramOf("router", 0).Signal(SIGTERM);
  EXPECT_EQ(cluster->ProgramOf("router", 0).Wait(kWaitLimit), 0);
  for (std::thread& it : threads) it.join();
  EXPECT_EQ(cut.load(), 0);
  EXPECT_EQ(closed.load(), 8);
}

}  // namespace
}  // namespace pomelopond::support
