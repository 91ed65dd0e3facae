// Requests that go out on some connections only.
#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/result_code.h"
#include "tests/http/connection_pool_fixture.h"

namespace pomelopond::http {
namespace {

// Guards against a body that reaches another process than the one that it is meant for: the server
// starts again between two calls, and the pool opens a new connection (review/9).
TEST_F(ConnectionPoolTest, TiedBodyGoesOutOnItsConnectionOnly) {
  Listen();
  const auto send = [this](uint64_t connection) {
    const auto promise = std::make_shared<std::promise<HttpResult>>();
    pool->Send(lane, {"POST", "/a", {}, "tied"}, kTimeout,
               [promise](HttpResult it) { promise->set_value(std::move(it)); },
               {connection, {}, {"POST", "/a", {}, "for others"}, {}});
    return promise->get_future();
  };
  const auto body_of = [](ServerConnection* server) {
    const std::string head = server->ReadHead();
    const size_t n = std::stoul(head.substr(head.find("Content-Length: ") + 16));
    std::string body = server->ReadBody(n);
    server->Write(kGood);
    return body;
  };
  std::future<HttpResult> first = send(0);
  ServerConnection before = Accept();
  EXPECT_EQ(body_of(&before), "tied");
  const uint64_t connection = first.get().connection;
  EXPECT_NE(connection, 0U);
  std::future<HttpResult> second = send(connection);
  EXPECT_EQ(body_of(&before), "tied");
  EXPECT_EQ(second.get().connection, connection);
  before.Close();
  std::future<HttpResult> third = send(connection);
  ServerConnection after = Accept();
  EXPECT_EQ(body_of(&after), "for others");
  const uint64_t next = third.get().connection;
  EXPECT_NE(next, connection);
  std::future<HttpResult> fourth = send(next);
  EXPECT_EQ(body_of(&after), "tied");
  fourth.get();
}

constexpr const char* kProcess = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";

// Answer of the process with this number.
std::string AnswerOf(int process) { return kProcess + std::to_string(process); }

// Requests that only process 1 may be told. Another one asks a process for its number.
class ProcessTieTest : public ConnectionPoolTest {
 protected:
  ProcessTieTest() { Listen(); }

  std::future<HttpResult> SendTied(Duration timeout = kTimeout) {
    ConnectionTie tie;
    tie.process = 1;
    tie.other_request = {"GET", "/which", {}, ""};
    tie.is_from_process = [](const HttpResult& it) { return it.response.body == "1"; };
    HttpRequest request;
    request.path = "/tied";
    return Send(request, tie, timeout);
  }
  static std::string PathOf(ServerConnection* server) {
    const std::string head = server->ReadHead();
    return head.substr(0, head.find(" HTTP"));
  }
};

// Guards against a request that reaches another process than the one that it is meant for: the
// server starts again between two calls, and the pool opens a new connection (issue 77).
TEST_F(ProcessTieTest, RequestFollowsOnceTheProcessIsKnown) {
  std::future<HttpResult> first = SendTied();
  ServerConnection before = Accept();
  EXPECT_EQ(PathOf(&before), "GET /which");
  before.Write(AnswerOf(1));
  EXPECT_EQ(PathOf(&before), "GET /tied");
  before.Write(kGood);
  const HttpResult result = first.get();
  EXPECT_FALSE(result.sent_other);
  EXPECT_EQ(result.response.body, "ok");
  std::future<HttpResult> second = SendTied();
  EXPECT_EQ(PathOf(&before), "GET /tied");
  before.Write(kGood);
  EXPECT_FALSE(second.get().sent_other);
  before.Close();
  std::future<HttpResult> third = SendTied();
  ServerConnection after = Accept();
  EXPECT_EQ(PathOf(&after), "GET /which");
  after.Write(AnswerOf(2));
  const HttpResult other = third.get();
  EXPECT_TRUE(other.sent_other);
  EXPECT_EQ(other.response.body, "2");
}

// Guards against a connection that counts as one to a process because other requests were answered
// on it, which a process that has accepted it later may have done.
TEST_F(ProcessTieTest, OtherAnswersDoNotTellTheProcess) {
  std::future<HttpResult> untied = Send("/untied");
  ServerConnection server = Accept();
  server.ReadHead();
  server.Write(AnswerOf(1));
  untied.get();
  std::future<HttpResult> tied = SendTied();
  EXPECT_EQ(PathOf(&server), "GET /which");
  server.Write(AnswerOf(2));
  EXPECT_TRUE(tied.get().sent_other);
}

// Guards against a question to the process for each of many requests that wait for a connection.
TEST_F(ProcessTieTest, RequestsThatWaitNeedNoFurtherAnswer) {
  std::vector<std::future<HttpResult>> results;
  for (int n = 0; n < 5; ++n) results.push_back(SendTied());
  ServerConnection server = Accept();
  EXPECT_EQ(PathOf(&server), "GET /which");
  server.Write(AnswerOf(1));
  for (std::future<HttpResult>& it : results) {
    EXPECT_EQ(PathOf(&server), "GET /tied");
    server.Write(kGood);
    EXPECT_EQ(it.get().response.body, "ok");
  }
}

// Guards against a request that counts as sent, or is asked about for ever, where the connection
// ends before it can follow.
TEST_F(ProcessTieTest, ConnectionThatEndsFirstMeansNotSent) {
  std::future<HttpResult> closed = SendTied();
  {
    ServerConnection server = Accept();
    PathOf(&server);
    server.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1");
    EXPECT_EQ(closed.get().ec, ResultCode::kTargetUnreachable);
  }
  std::future<HttpResult> cut = SendTied();
  {
    ServerConnection server = Accept();
    PathOf(&server);
  }
  EXPECT_EQ(cut.get().ec, ResultCode::kTargetUnreachable);
  std::future<HttpResult> late = SendTied(kShort);
  ServerConnection server = Accept();
  PathOf(&server);
  EXPECT_EQ(late.get().ec, ResultCode::kTargetUnreachable);
  EXPECT_FALSE(HasConnection(kShort));
}

// Guards against a request without an answer that counts as not sent.
TEST_F(ProcessTieTest, RequestThatFollowedMayHaveBeenHandled) {
  std::future<HttpResult> result = SendTied(kShort);
  ServerConnection server = Accept();
  EXPECT_EQ(PathOf(&server), "GET /which");
  server.Write(AnswerOf(1));
  EXPECT_EQ(PathOf(&server), "GET /tied");
  EXPECT_EQ(result.get().ec, ResultCode::kTimeout);
}

// Guards against requests to slow servers that are handled but count as unanswered, as the question
// took part of their timeout.
TEST_F(ProcessTieTest, RequestThatFollowsHasATimeoutOfItsOwn) {
  std::future<HttpResult> result = SendTied(2 * kShort);
  ServerConnection server = Accept();
  for (const std::string& it : {AnswerOf(1), std::string(kGood)}) {
    PathOf(&server);
    std::this_thread::sleep_for(kShort * 5 / 4);
    server.Write(it);
  }
  EXPECT_EQ(result.get().response.body, "ok");
}

// Guards against a request on a new connection of an owner that has stepped down.
TEST_F(ProcessTieTest, RequestDoesNotFollowADisconnect) {
  std::future<HttpResult> result = SendTied();
  ServerConnection server = Accept();
  PathOf(&server);
  std::future<HttpResult> waiting = Send("/waiting");
  pool->Disconnect();
  EXPECT_EQ(waiting.get().ec, ResultCode::kTargetUnreachable);
  server.Write(AnswerOf(1));
  EXPECT_EQ(result.get().ec, ResultCode::kTargetUnreachable);
  EXPECT_FALSE(HasConnection(kShort));
}

// Guards against connections that carry no other request, and so are never known, because an answer
// is longer than the read buffer.
TEST_F(ProcessTieTest, ConnectionOutlastsALongAnswer) {
  std::future<HttpResult> first = Send("/long");
  ServerConnection server = Accept();
  server.ReadHead();
  const std::string body(200000, 'x');
  server.Write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + body);
  const HttpResult result = first.get();
  EXPECT_EQ(result.response.body.size(), body.size());
  std::future<HttpResult> second = Send("/next");
  EXPECT_EQ(PathOf(&server), "GET /next");
  server.Write(kGood);
  EXPECT_EQ(second.get().connection, result.connection);
}

}  // namespace
}  // namespace pomelopond::http
