#include "http/http_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include "http/http_server.h"
#include "tests/support/raw_client.h"

namespace pomelopond::http {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

// A server that counts the requests it reads and answers the n-th request of each connection with
// `answers[n]`. It closes the connection if there is no such answer. Shortly after every answer, it
// sends `unsolicited` without a request.
class ScriptedServer {
 public:
  ScriptedServer(const Endpoint& endpoint, std::vector<std::string> answers,
                 std::string unsolicited = {})
      : answers_(std::move(answers)),
        unsolicited_(std::move(unsolicited)),
        socket_(socket(AF_INET, SOCK_STREAM, 0)) {
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

  // The open connections are served on.
  void RefuseConnections() { shutdown(socket_, SHUT_RDWR); }

  int requests() const { return requests_.load(); }

  int connections() const { return accepted_.load(); }

  // Returns true once `n` unsolicited answers have been sent, or false after a timeout.
  bool WaitForUnsolicited(int n) const {
    const TimePoint limit = Now() + kTimeout;
    while (unsolicited_sent_.load() < n && Now() < limit) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return unsolicited_sent_.load() >= n;
  }

 private:
  void Serve() {
    for (;;) {
      const int connection = accept(socket_, nullptr, nullptr);
      if (connection < 0) return;
      accepted_.fetch_add(1);
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
      if (unsolicited_.empty()) continue;
      // The delay makes the client read the answer above before the unsolicited one arrives.
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      send(connection, unsolicited_.data(), unsolicited_.size(), MSG_NOSIGNAL);
      unsolicited_sent_.fetch_add(1);
    }
  }

  std::vector<std::string> answers_;
  std::string unsolicited_;
  std::atomic<int> unsolicited_sent_{0};
  int socket_;
  std::atomic<int> requests_{0};
  std::atomic<int> accepted_{0};
  std::thread thread_;
  std::vector<std::thread> connections_;
};

HttpResult CallOnce(HttpClient* client) {
  // The promise is shared because the waiting thread may continue while set_value still uses it.
  const auto promise = std::make_shared<std::promise<HttpResult>>();
  HttpRequest request;
  request.method = "POST";
  client->SendOnce(std::move(request), kTimeout,
                   [promise](HttpResult it) { promise->set_value(std::move(it)); });
  return promise->get_future().get();
}

constexpr const char* kGood = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against the HTTP library sending a request a second time when the server closes a pooled
// connection after it has read, and perhaps run, the request.
TEST(HttpClientTest, RequestsAreNeverRepeatedByTheLibrary) {
  const Endpoint endpoint{"127.77.1.1", 7600};
  ScriptedServer server(endpoint, {kGood});
  HttpClient client(endpoint);
  ASSERT_FALSE(client.Call({}, kTimeout).ec);  // leaves a connection in the pool
  ASSERT_EQ(server.requests(), 1);
  EXPECT_FALSE(CallOnce(&client).ec);
  EXPECT_EQ(server.requests(), 2);
  // The server closes the pooled connection after its second request.
  EXPECT_EQ(client.Call({}, kTimeout).ec, ResultCode::kTruncatedAnswer);
  EXPECT_EQ(server.requests(), 3);
}

// Guards against a request that is reported as not sent although the server has read it: the server
// closes the pooled connection without an answer and refuses new connections (review case 1).
TEST(HttpClientTest, LostAnswerFollowedByARefusedConnectionIsNotUnreachable) {
  const Endpoint endpoint{"127.77.1.14", 7600};
  ScriptedServer server(endpoint, {kGood});
  HttpClient client(endpoint);
  ASSERT_FALSE(client.Call({}, kTimeout).ec);
  server.RefuseConnections();
  EXPECT_EQ(client.Call({}, kTimeout).ec, ResultCode::kTruncatedAnswer);
  EXPECT_EQ(server.requests(), 2);
  EXPECT_EQ(client.Call({}, kTimeout).ec, ResultCode::kTargetUnreachable);
}

TEST(HttpClientTest, SendOnceWithoutAnAnswerIsSentOnce) {
  const Endpoint endpoint{"127.77.1.2", 7600};
  ScriptedServer server(endpoint, {});
  HttpClient client(endpoint);
  EXPECT_EQ(CallOnce(&client).ec, ResultCode::kTruncatedAnswer);
  EXPECT_EQ(server.requests(), 1);
}

// Guards against a truncated answer that is passed to the caller as complete.
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
    const auto promise = std::make_shared<std::promise<HttpResult>>();
    // The server waits for a second request on this connection, so the client must end the call
    // with a timeout.
    client.Send({}, std::chrono::seconds(2),
                [promise](HttpResult result) { promise->set_value(std::move(result)); });
    EXPECT_TRUE(promise->get_future().get().ec) << it;
  }
}

TEST(HttpClientTest, UnreachableServerIsToldApart) {
  HttpClient client({"127.77.1.4", 7699});
  EXPECT_EQ(client.Call({}, kTimeout).ec, ResultCode::kTargetUnreachable);
}

// Guards against request bodies of unbounded size.
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
  // The caller may receive the response shortly before the server learns that it is written.
  EXPECT_EQ(server.Stop(kTimeout), 0);
}

// Guards against a second send to an address that the answer chooses. By default, the library
// follows up to 10 redirects.
TEST(HttpClientTest, RedirectsAreNotFollowed) {
  const Endpoint endpoint{"127.77.1.6", 7600};
  ScriptedServer server(endpoint, {"HTTP/1.1 307 Moved\r\nLocation: /again\r\n"
                                   "Content-Length: 0\r\n\r\n",
                                   kGood});
  HttpClient client(endpoint);
  EXPECT_EQ(CallOnce(&client).response.status, 307);
  EXPECT_EQ(client.Call({}, kTimeout).response.status, 307);
  EXPECT_EQ(server.requests(), 2);
}

// Guards against a late or duplicate answer on a keep-alive connection that is taken for the answer
// to the next request.
TEST(HttpClientTest, UnaskedAnswerIsNotTakenForTheNextOne) {
  const Endpoint endpoint{"127.77.1.7", 7600};
  ScriptedServer server(endpoint, {kGood, kGood},
                        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  HttpClient client(endpoint);
  for (int n = 0; n < 5; ++n) {
    const HttpResult result = client.Call({}, kTimeout);
    EXPECT_FALSE(result.ec);
    EXPECT_EQ(result.response.body, "ok");
    ASSERT_TRUE(server.WaitForUnsolicited(n + 1));
  }
}

// Guards against a duplicate answer that arrives after the next request was sent. If the server
// does not echo the request id, the connection is not reused. An answer that echoes the id of
// another request is an error.
TEST(HttpClientTest, AnswerToAnotherRequestIsAnError) {
  const Endpoint endpoint{"127.77.1.10", 7600};
  ScriptedServer silent(endpoint, {kGood, kGood});
  HttpClient client(endpoint, HttpClientOptions{ConnectionReuse::kWhenRequestIdEchoed});
  for (int n = 1; n <= 5; ++n) {
    EXPECT_FALSE(client.Call({}, kTimeout).ec);
    EXPECT_EQ(silent.connections(), n);
  }
  const Endpoint other{"127.77.1.11", 7600};
  ScriptedServer wrong(other, {"HTTP/1.1 200 OK\r\nPomelopond-Request: x\r\n"
                               "Content-Length: 2\r\n\r\nok"});
  HttpClient wrong_client(other, HttpClientOptions{ConnectionReuse::kWhenRequestIdEchoed});
  EXPECT_EQ(wrong_client.Call({}, kTimeout).ec, ResultCode::kTruncatedAnswer);
}

// Guards against opening a new connection for each request although the server echoes request ids.
TEST(HttpClientTest, EchoedConnectionIsReused) {
  const Endpoint endpoint{"127.77.1.12", 7600};
  HttpServer server(endpoint, 1000, [](const HttpRequest& it, const Reply& reply) {
    reply(JsonResponse(200, {{"named", !HeaderOf(it.headers, kRequestIdHeader).empty()}}));
  });
  ASSERT_FALSE(server.Start());
  HttpClient client(endpoint, HttpClientOptions{ConnectionReuse::kWhenRequestIdEchoed});
  for (int n = 0; n < 5; ++n) {
    const HttpResult result = client.Call({}, kTimeout);
    EXPECT_FALSE(result.ec);
    EXPECT_EQ(result.response.body, R"({"named":true})");
    EXPECT_EQ(HeaderOf(result.response.headers, kRequestIdHeader), "");
  }
}

// Guards against an answer that arrives after its call has timed out and is taken for the answer to
// the next call.
TEST(HttpClientTest, ConnectionOfATimedOutCallIsClosed) {
  const Endpoint endpoint{"127.77.1.8", 7600};
  std::atomic<int> served{0};
  std::promise<Reply> held;
  HttpServer server(endpoint, 1000, [&](const HttpRequest& it, const Reply& reply) {
    if (served.fetch_add(1) == 1) return held.set_value(reply);
    reply(JsonResponse(200, {{"path", it.path}}));
  });
  ASSERT_FALSE(server.Start());
  HttpClient client(endpoint);
  HttpRequest request;
  request.path = "/first";
  EXPECT_FALSE(client.Call(request, kTimeout).ec);  // leaves a connection in the pool
  request.path = "/late";
  EXPECT_EQ(client.Call(request, std::chrono::milliseconds(300)).ec, ResultCode::kTimeout);
  held.get_future().get()(JsonResponse(200, {{"path", "/late"}}));
  for (int n = 0; n < 10; ++n) {
    request.path = "/next-" + std::to_string(n);
    const HttpResult result = client.Call(request, kTimeout);
    ASSERT_FALSE(result.ec);
    EXPECT_EQ(result.response.body, Json({{"path", request.path}}).dump());
  }
}

// Guards against the default timeout of the HTTP library, 30 s, which would end calls that have a
// later deadline.
TEST(HttpClientTest, AnswerAfterTheLibrarysOwnTimeoutIsWhole) {
  const Endpoint endpoint{"127.77.1.9", 7600};
  HttpServer server(endpoint, 1000, [](const HttpRequest&, const Reply& reply) {
    RunAfter(std::chrono::seconds(32), [reply] { reply(JsonResponse(200, {{"late", true}})); });
  });
  ASSERT_FALSE(server.Start());
  HttpClient client(endpoint);
  const HttpResult result = client.Call({}, std::chrono::seconds(100));
  EXPECT_FALSE(result.ec) << result.ec.message();
  EXPECT_EQ(result.response.body, Json({{"late", true}}).dump());
}

// Guards against a refusal that waits for the rest of an oversized body, and against a request that
// prevents the server from stopping because its body never arrives.
TEST(HttpServerTest, RefusalDoesNotWaitForTheBody) {
  const Endpoint endpoint{"127.77.1.13", 7600};
  HttpServer server(endpoint, 1000, [](const HttpRequest&, const Reply& reply) {
    reply(JsonResponse(200, Json::object()));
  });
  ASSERT_FALSE(server.Start());
  for (const char* it : {"Content-Length: 99999999999", "Content-Length: 18446744073709551615",
                         "Transfer-Encoding: chunked"}) {
    support::RawClient client(endpoint);
    ASSERT_TRUE(client.Connect());
    ASSERT_TRUE(client.Write(std::string("POST / HTTP/1.1\r\nHost: a\r\n") + it + "\r\n\r\n"));
    const std::optional<HttpResponse> response = client.Read(kTimeout);
    ASSERT_TRUE(response) << it;
    EXPECT_GE(response->status, 411) << it;
  }
  EXPECT_EQ(server.Stop(kTimeout), 0);
}

}  // namespace
}  // namespace pomelopond::http
