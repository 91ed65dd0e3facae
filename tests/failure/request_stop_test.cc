// Failure tests of the graceful shutdown of routers.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "tests/support/cluster.h"
#include "tests/support/raw_client.h"

namespace pomelopond::support {
namespace {

constexpr Duration kLongTimeout = std::chrono::seconds(60);

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

// Guards against a shutdown that aborts requests in flight.
TEST_F(RequestStopTest, RequestsInProgressGetTheirAnswersAndTheExitStatusIsZero) {
  Start(118, 6000);  // longer than drain_grace_ms
  std::atomic<int> whole{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < 10; ++n) {
    threads.emplace_back([this, &whole] {
      RawClient client(cluster->Router(0));
      const auto response = client.Call(Quote(), kLongTimeout);
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

// Guards against the loss of a request that arrives on a keep-alive connection while the listener
// closes. Each answer of a stopping router closes its connection, so that no caller has an open
// connection at that moment.
TEST_F(RequestStopTest, StoppingRouterClosesKeptAliveConnectionsWithTheirNextAnswer) {
  Start(119, 1);
  std::atomic<int> cut{0};
  std::atomic<int> whole{0};
  std::atomic<int> closed{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < 8; ++n) {
    threads.emplace_back([this, &cut, &whole, &closed] {
      RawClient client(cluster->Router(0));
      // Ends when the router refuses the connection, since a load balancer then sends its callers
      // to another router.
      while (client.Connect()) {
        const auto response = client.Call(Quote(), kLongTimeout);
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
