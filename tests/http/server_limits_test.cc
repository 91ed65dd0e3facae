// Limits of an HttpServer, with clients over plain sockets.
#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <thread>

#include "http/http_server.h"
#include "tests/support/raw_client.h"

namespace pomelopond::http {
namespace {

using support::RawClient;

constexpr Duration kTimeout = std::chrono::seconds(20);

class ServerLimitsTest : public ::testing::Test {
 protected:
  void Start(uint16_t port, const ServerLimits& limits) {
    endpoint = {"127.77.1.16", port};
    server = std::make_unique<HttpServer>(
        endpoint, limits, [](const HttpRequest& it, const Reply& reply) {
          reply(JsonResponse(200, {{"path", it.path}, {"bytes", it.body.size()}}));
        });
    ASSERT_FALSE(server->Start());
  }

  // Returns the status of the response to `bytes` on a connection of its own; 0: none.
  int StatusOf(const std::string& bytes) const {
    RawClient client(endpoint);
    client.Connect();
    client.Write(bytes);
    const auto response = client.Read(kTimeout);
    return response ? response->status : 0;
  }

  int64_t Closed(CloseCause cause) const {
    return server->Usage().closed[static_cast<size_t>(cause)];
  }

  Endpoint endpoint;
  std::unique_ptr<HttpServer> server;
};

std::string Get(const std::string& path, const std::string& fields = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

std::string Post(size_t announced, size_t sent) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" +
         std::string(sent, 'x');
}

// Guards against headers that take memory without a bound.
TEST_F(ServerLimitsTest, LargeHeadersAreRefused) {
  ServerLimits limits;
  limits.max_header_bytes = 1000;
  limits.max_header_fields = 20;
  Start(7600, limits);
  EXPECT_EQ(StatusOf(Get("/", "A: " + std::string(900, 'x') + "\r\n")), 200);
  EXPECT_EQ(StatusOf(Get("/", "A: " + std::string(1000, 'x') + "\r\n")), 431);
  EXPECT_EQ(StatusOf("GET /" + std::string(5000, 'x')), 431);
  std::string fields;
  for (int n = 0; n < 20; ++n) fields += "a:b\r\n";
  EXPECT_EQ(StatusOf(Get("/", fields)), 431);
  EXPECT_EQ(Closed(CloseCause::kHeaderTooLarge), 3);
}

// Guards against requests that another receiver would read differently.
TEST_F(ServerLimitsTest, MalformedRequestsAreRefused) {
  Start(7601, {});
  for (const char* it :
       {"GET / HTTP/9.9\r\n\r\n", "GET /%zz HTTP/1.1\r\n\r\n", "GET * HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nA b: c\r\n\r\n", "GET / HTTP/1.1\r\nA: b\vc\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "GET\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"}) {
    EXPECT_EQ(StatusOf(it), 400) << it;
  }
  EXPECT_EQ(StatusOf(Get("/", "Transfer-Encoding: gzip\r\n")), 411);
  EXPECT_EQ(StatusOf(Get("/", "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n")), 411);
}

// Guards against requests that are never complete and hold their connections for good.
TEST_F(ServerLimitsTest, SlowRequestsAreRefusedAndIdleConnectionsClosed) {
  ServerLimits limits;
  limits.header_timeout = std::chrono::milliseconds(100);
  limits.stall_timeout = limits.header_timeout;
  limits.idle_timeout = limits.header_timeout;
  Start(7602, limits);
  EXPECT_EQ(StatusOf("GET / HTTP/1.1\r\nHo"), 408);
  EXPECT_EQ(StatusOf(Post(100, 50)), 408);
  EXPECT_EQ(StatusOf(""), 0);
  EXPECT_EQ(Closed(CloseCause::kIdleTimeout), 1);
}

// Guards against bodies that fill the budget for good, and against a refusal that gives no time to
// come back.
TEST_F(ServerLimitsTest, StalledBodiesGiveWayToOthers) {
  ServerLimits limits;
  limits.budget_bytes = 400000;  // three quarters of it hold one of the bodies
  limits.max_body_bytes = 100000;
  Start(7603, limits);
  RawClient stalled(endpoint);
  ASSERT_TRUE(stalled.Connect());
  ASSERT_TRUE(stalled.Write(Post(100000, 99999)));
  RawClient refused(endpoint);
  const TimePoint limit = Now() + kTimeout;
  while (server->Usage().budget_used == 0 && Now() < limit) std::this_thread::yield();
  ASSERT_TRUE(refused.Connect());
  ASSERT_TRUE(refused.Write(Post(100000, 0)));
  const auto response = refused.Read(kTimeout);
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
  EXPECT_EQ(HeaderOf(response->headers, "Retry-After"), "1");
  int status = 0;
  while (status != 200 && Now() < limit) status = StatusOf(Post(100000, 100000));
  EXPECT_EQ(status, 200);
  EXPECT_EQ(Closed(CloseCause::kStalled), 1);
}

// Guards against idle connections that keep others out.
TEST_F(ServerLimitsTest, LongestIdleConnectionGivesWay) {
  ServerLimits limits;
  limits.max_connections = 2;
  Start(7604, limits);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int n = 0; n < 4; ++n) {
    clients.push_back(std::make_unique<RawClient>(endpoint));
    ASSERT_TRUE(clients.back()->Call({}, kTimeout)) << n;
  }
  EXPECT_EQ(Closed(CloseCause::kReplaced), 2);
  EXPECT_EQ(server->Usage().connections, 2);
}

// Guards against responses out of order, and against a limit that cuts off what is sent ahead.
TEST_F(ServerLimitsTest, RequestsSentAheadAreAnsweredInOrder) {
  Start(7605, {});
  RawClient client(endpoint);
  ASSERT_TRUE(client.Connect());
  std::string bytes;
  for (int n = 0; n < 300; ++n) bytes += Get("/" + std::to_string(n)) + "\r\n";
  ASSERT_TRUE(client.Write(bytes + Post(10, 10)));
  for (int n = 0; n < 300; ++n) {
    const auto response = client.Read(kTimeout);
    ASSERT_TRUE(response) << n;
    EXPECT_EQ(response->body, "{\"bytes\":0,\"path\":\"/" + std::to_string(n) + "\"}");
  }
  EXPECT_EQ(client.Read(kTimeout)->body, R"({"bytes":10,"path":"/"})");
}

// Guards against a client that waits in vain for the permission to send its body.
TEST_F(ServerLimitsTest, ExpectedContinueIsSent) {
  Start(7606, {});
  RawClient client(endpoint);
  ASSERT_TRUE(client.Connect());
  ASSERT_TRUE(client.Write("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"));
  EXPECT_EQ(client.Read(kTimeout)->status, 100);
  ASSERT_TRUE(client.Write("abc"));
  EXPECT_EQ(client.Read(kTimeout)->status, 200);
}

// Guards against a body after the answer to HEAD, which the client would take for the next answer.
TEST_F(ServerLimitsTest, AnswerToHeadHasNoBody) {
  Start(7607, {});
  RawClient client(endpoint);
  ASSERT_TRUE(client.Connect());
  ASSERT_TRUE(client.Write("HEAD / HTTP/1.1\r\n\r\n" + Get("/next")));
  const auto both = client.Read(std::chrono::milliseconds(300));  // takes a part as the body
  EXPECT_TRUE(!both || both->body.find("HTTP/1.1 200") == 0) << both->body;
}

// Guards against a reply that uses a server that is gone.
TEST_F(ServerLimitsTest, ReplyMayOutliveTheServer) {
  std::promise<Reply> held;
  endpoint = {"127.77.1.16", 7608};
  server = std::make_unique<HttpServer>(
      endpoint, ServerLimits(),
      [&held](const HttpRequest&, const Reply& reply) { held.set_value(reply); });
  ASSERT_FALSE(server->Start());
  RawClient client(endpoint);
  ASSERT_TRUE(client.Connect());
  ASSERT_TRUE(client.Write(Get("/")));
  const Reply reply = held.get_future().get();
  EXPECT_EQ(server->Stop(Duration::zero()), 1);
  server.reset();
  reply(JsonResponse(200, Json::object()));
  EXPECT_FALSE(client.Read(kTimeout));
}

// Guards against limits of a new configuration that have no effect before a restart.
TEST_F(ServerLimitsTest, NewLimitsApplyToNewRequests) {
  Start(7609, {});
  EXPECT_EQ(StatusOf(Post(1000, 1000)), 200);
  ServerLimits limits;
  limits.max_body_bytes = 100;
  server->SetLimits(limits);
  EXPECT_EQ(StatusOf(Post(1000, 1000)), 413);
}

}  // namespace
}  // namespace pomelopond::http
