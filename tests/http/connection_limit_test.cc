#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "http/connection_pool.h"
#include "http/http_server.h"

namespace pomelopond::http {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

// Answers each request once released, and counts connections and requests.
class ConnectionLimitTest : public ::testing::Test {
 protected:
  static constexpr int kMaxConnections = 2;

  // Tests run beside each other, so each has a port of its own.
  explicit ConnectionLimitTest(uint16_t port = 7600)
      : endpoint{"127.77.1.15", port},
        server(endpoint, 1000, [this](const HttpRequest&, const Reply& reply) {
          const std::lock_guard<std::mutex> lock(mutex);
          replies.push_back(reply);
          max_waiting = std::max(max_waiting, replies.size());
        }) {
    EXPECT_FALSE(server.Start());
  }
  ~ConnectionLimitTest() override { AnswerAll(); }

  std::future<HttpResult> Send(Duration timeout) {
    const auto promise = std::make_shared<std::promise<HttpResult>>();
    pool.Send({endpoint, 0, kMaxConnections}, {}, timeout,
              [promise](HttpResult it) { promise->set_value(std::move(it)); });
    return promise->get_future();
  }
  bool WaitForRequests(size_t n) {
    const TimePoint limit = Now() + kTimeout;
    while (Now() < limit) {
      {
        const std::lock_guard<std::mutex> lock(mutex);
        if (replies.size() >= n) return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  }
  void AnswerAll() {
    std::vector<Reply> taken;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      taken.swap(replies);
    }
    for (const Reply& it : taken) it(JsonResponse(200, Json::object()));
  }

  const Endpoint endpoint;
  std::mutex mutex;  // guards the members below
  std::vector<Reply> replies;
  size_t max_waiting = 0;
  HttpServer server;
  ConnectionPool pool;
};

// Guards against a client that takes up all connections that a server accepts (review case 4).
TEST_F(ConnectionLimitTest, CallsBeyondTheLimitWaitForAConnection) {
  std::vector<std::future<HttpResult>> results;
  for (int n = 0; n < 20; ++n) results.push_back(Send(kTimeout));
  for (int n = 0; n < 10; ++n) {
    ASSERT_TRUE(WaitForRequests(kMaxConnections));
    AnswerAll();
  }
  for (std::future<HttpResult>& it : results) EXPECT_FALSE(it.get().ec);
  EXPECT_EQ(max_waiting, size_t{kMaxConnections});
}

class ConnectionLimitTimeoutTest : public ConnectionLimitTest {
 protected:
  ConnectionLimitTimeoutTest() : ConnectionLimitTest(7601) {}
};

// Guards against a call that is sent after its caller was told that it was not, and against calls
// that time out and keep their connections.
TEST_F(ConnectionLimitTimeoutTest, CallThatFindsNoConnectionInTimeIsNotSent) {
  std::vector<std::future<HttpResult>> results;
  for (int n = 0; n < kMaxConnections; ++n) {
    results.push_back(Send(std::chrono::milliseconds(1500)));
  }
  ASSERT_TRUE(WaitForRequests(kMaxConnections));
  // They time out before the calls above, whose connections they would get.
  for (int n = 0; n < kMaxConnections; ++n) {
    results.push_back(Send(std::chrono::milliseconds(100)));
  }
  for (int n = 0; n < 2 * kMaxConnections; ++n) {
    const std::error_code ec = results[static_cast<size_t>(n)].get().ec;
    EXPECT_EQ(ec, n < kMaxConnections ? ResultCode::kTimeout : ResultCode::kTargetUnreachable);
  }
  std::future<HttpResult> next = Send(kTimeout);
  ASSERT_TRUE(WaitForRequests(kMaxConnections + 1));
  AnswerAll();
  EXPECT_FALSE(next.get().ec);
  EXPECT_EQ(max_waiting, size_t{kMaxConnections} + 1);
}

}  // namespace
}  // namespace pomelopond::http
