#include "http/http_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <thread>

#include "http/http_server.h"

namespace pomelopond::http {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

// A server that counts the requests it reads and answers each connection's n-th request with
// `answers[n]`, closing the connection when there is none.
class ScriptedServer {
 public:
  ScriptedServer(const Endpoint& endpoint, std::vector<std::string> answers)
      : answers_(std::move(answers)), socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    if (bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) std::abort();
    listen(socket_, 16);
    thread_ = std::thread([this] { Serve(); });
  }

  ~ScriptedServer() {
    shutdown(socket_, SHUT_RDWR);
    thread_.join();
    close(socket_);
    for (std::thread& it : connections_) it.join();
  }

  int requests() const { return requests_.load(); }

 private:
  void Serve() {
    for (;;) {
      const int connection = accept(socket_, nullptr, nullptr);
      if (connection < 0) return;
      connections_.emplace_back([this, connection] {
        ServeConnection(connection);
        close(connection);
      });
    }
  }

  void ServeConnection(int connection) {
    for (size_t n = 0;; ++n) {
      std::string in;
      while (in.find("\r\n\r\n") == std::string::npos) {
        char buf[4096];
        const ssize_t got = recv(connection, buf, sizeof(buf), 0);
        if (got <= 0) return;
        in.append(buf, static_cast<size_t>(got));
      }
      requests_.fetch_add(1);
      if (n >= answers_.size()) return;
      send(connection, answers_[n].data(), answers_[n].size(), MSG_NOSIGNAL);
    }
  }

  std::vector<std::string> answers_;
  int socket_;
  std::atomic<int> requests_{0};
  std::thread thread_;
  std::vector<std::thread> connections_;
};

HttpResult CallOnce(HttpClient* client) {
  std::promise<HttpResult> promise;
  HttpRequest request;
  request.method = "POST";
  client->SendOnce(std::move(request), kTimeout,
                   [&promise](HttpResult it) { promise.set_value(std::move(it)); });
  return promise.get_future().get();
}

constexpr const char* kGood = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against the HTTP library sending a request a second time when the server closes a pooled
// connection after it has read, and perhaps run, the request.
TEST(HttpClientTest, SendOnceIsNeverRepeatedByTheLibrary) {
  const Endpoint endpoint{"127.77.1.1", 7600};
  ScriptedServer server(endpoint, {kGood});
  HttpClient client(endpoint);
  ASSERT_FALSE(client.Call({}, kTimeout).ec);  // leaves a connection in the pool
  ASSERT_EQ(server.requests(), 1);
  EXPECT_FALSE(CallOnce(&client).ec);
  EXPECT_EQ(server.requests(), 2);
  // The pooled connection is closed after its second request, and the library sends again.
  EXPECT_FALSE(client.Call({}, kTimeout).ec);
  EXPECT_EQ(server.requests(), 4);
}

TEST(HttpClientTest, SendOnceWithoutAnAnswerIsSentOnce) {
  const Endpoint endpoint{"127.77.1.2", 7600};
  ScriptedServer server(endpoint, {});
  HttpClient client(endpoint);
  EXPECT_EQ(CallOnce(&client).ec, ResultCode::kTruncatedAnswer);
  EXPECT_EQ(server.requests(), 1);
}

// Guards against a cut answer that reaches a caller as a whole one.
TEST(HttpClientTest, CutAnswersAreErrors) {
  const char* cut[] = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                       "HTTP/1.1 200 OK\r\n\r\nno length",
                       "HTTP/1.1 2",
                       "garbage\r\n\r\n"};
  uint16_t port = 7610;
  for (const char* it : cut) {
    const Endpoint endpoint{"127.77.1.3", port++};
    ScriptedServer server(endpoint, {it});
    HttpClient client(endpoint);
    std::promise<HttpResult> promise;
    // The server waits for a second request on this connection, so it has to be ended from here.
    client.Send({}, std::chrono::seconds(2),
                [&promise](HttpResult result) { promise.set_value(std::move(result)); });
    EXPECT_TRUE(promise.get_future().get().ec) << it;
  }
}

TEST(HttpClientTest, UnreachableServerIsToldApart) {
  HttpClient client({"127.77.1.4", 7699});
  EXPECT_EQ(client.Call({}, kTimeout).ec, ResultCode::kTargetUnreachable);
}

// Guards against unbounded bodies.
TEST(HttpServerTest, RefusesLargeBodies) {
  const Endpoint endpoint{"127.77.1.5", 7600};
  HttpServer server(endpoint, 1000, [](const HttpRequest& it, const Reply& reply) {
    reply(JsonResponse(200, {{"bytes", it.body.size()}}));
  });
  ASSERT_FALSE(server.Start());
  HttpClient client(endpoint);
  HttpRequest request;
  request.method = "POST";
  request.body = std::string(1000, 'x');
  EXPECT_EQ(client.Call(request, kTimeout).response.status, 200);
  request.body += "x";
  EXPECT_EQ(client.Call(request, kTimeout).response.status, 413);
  EXPECT_EQ(server.Stop(Duration::zero()), 0);
}

}  // namespace
}  // namespace pomelopond::http
