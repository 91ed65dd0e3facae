#include "http/connection_pool.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "tests/http/connection_pool_fixture.h"

namespace pomelopond::http {
namespace {

using std::chrono::milliseconds;

TEST_F(ConnectionPoolTest, CallsShareAConnectionAndKeepTheirOrder) {
  Listen();
  HttpRequest request{"POST", "/a", {{"X-A", "b"}, {"Host", "x"}}, "body"};
  std::future<HttpResult> first = Send(request, kTimeout);
  std::future<HttpResult> second = Send("/b");
  ServerConnection server = Accept();
  EXPECT_EQ(server.ReadHead(), "POST /a HTTP/1.1\r\nHost: " + ToString(lane.endpoint) +
                                   "\r\nX-A: b\r\nContent-Length: 4\r\n\r\n");
  EXPECT_EQ(server.ReadBytes(4), 4U);
  EXPECT_FALSE(HasConnection(kShort));
  server.Write("HTTP/1.1 307 Moved\r\nLocation: /c\r\nContent-Length: 3\r\n\r\nfar");
  const HttpResult result = first.get();
  EXPECT_FALSE(result.ec);
  EXPECT_EQ(result.response.status, 307);
  EXPECT_EQ(result.response.body, "far");
  EXPECT_EQ(server.ReadHead().rfind("GET /b HTTP/1.1\r\n", 0), 0U);
  server.Write(kGood);
  const HttpResult waited = second.get();
  EXPECT_FALSE(waited.ec);
  EXPECT_GE(waited.queued, kShort);
  EXPECT_GE(waited.took, waited.queued);
}

// Guards against a heartbeat that waits behind the orders to the same worker.
TEST_F(ConnectionPoolTest, LanesDoNotWaitForEachOther) {
  Listen();
  std::future<HttpResult> first = Send("/a");
  const ServerConnection held = Accept();
  lane.lane = 1;
  std::future<HttpResult> second = Send("/b");
  ServerConnection server = Accept();
  server.Write(kGood);
  EXPECT_FALSE(second.get().ec);
}

// Guards against an answer that arrives after its call has timed out and is taken for the answer to
// the next call.
TEST_F(ConnectionPoolTest, ConnectionOfATimedOutCallIsClosed) {
  Listen();
  std::future<HttpResult> late = Send("/late", kShort);
  ServerConnection server = Accept();
  EXPECT_EQ(late.get().ec, ResultCode::kTimeout);
  std::future<HttpResult> next = Send("/next");
  server.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
  ServerConnection other = Accept();
  other.ReadHead();
  other.Write(kGood);
  EXPECT_EQ(next.get().response.body, "ok");
}

// Guards against the use of a connection that the server has closed, or on which it has sent what
// would be taken for the next answer.
TEST_F(ConnectionPoolTest, OnlyQuietConnectionsAreUsedAgain) {
  Listen();
  const auto after = [this](const std::string& answer, const std::string& later, bool closes) {
    std::future<HttpResult> first = Send("/a");
    ServerConnection server = Accept();
    server.ReadHead();
    server.Write(answer);
    EXPECT_EQ(first.get().response.body, "ok");
    if (!later.empty()) server.Write(later);
    if (closes) server.Close();
    std::future<HttpResult> next = Send("/b");
    ServerConnection other = Accept();
    other.ReadHead();
    other.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nother");
    EXPECT_EQ(next.get().response.body, "other");
  };
  after(kGood, "", true);
  after(kGood, kGood, false);
  after(std::string(kGood) + kGood, "", false);
  after("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "", false);
  after("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "", false);
}

// Guards against bytes after an answer that fills the read buffer, which are taken for the answer
// to a call that waits for the connection.
TEST_F(ConnectionPoolTest, WaitingCallDoesNotUseAConnectionWithBytesLeft) {
  const std::string answer = kGood;
  ConnectionPoolOptions options;
  options.read_bytes = answer.size();
  pool = std::make_unique<ConnectionPool>(options);
  Listen();
  std::future<HttpResult> first = Send("/a");
  std::future<HttpResult> next = Send("/b");
  ServerConnection server = Accept();
  server.ReadHead();
  server.Write(answer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
  EXPECT_EQ(first.get().response.body, "ok");
  ServerConnection other = Accept();
  other.ReadHead();
  other.Write(answer);
  EXPECT_EQ(next.get().response.body, "ok");
}

// Guards against a request that is sent again, though the server may have handled it.
TEST_F(ConnectionPoolTest, RequestWithoutAnAnswerIsSentOnce) {
  Listen();
  std::future<HttpResult> first = Send("/a");
  ServerConnection server = Accept();
  server.ReadHead();
  server.Write(kGood);
  EXPECT_FALSE(first.get().ec);
  std::future<HttpResult> second = Send("/b");
  server.ReadHead();
  server.Close();
  EXPECT_EQ(second.get().ec, ResultCode::kTruncatedAnswer);
  EXPECT_FALSE(HasConnection(kShort));
}

// Guards against a cut or malformed answer that is passed to the caller as a complete one.
TEST_F(ConnectionPoolTest, CutAnswersAreErrors) {
  Listen();
  pool = std::make_unique<ConnectionPool>(ConnectionPoolOptions{10, 1, Duration::zero()});
  const std::string fixed = "HTTP/1.1 200 OK\r\nContent-Length: ";
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> answers = {"",
                                            "HTTP/1.1 2",
                                            "garbage\r\n\r\n",
                                            "HTTP/1.1 200 OK\r\n\r\nno length",
                                            "HTTP/1.1 100 Continue\r\n\r\n",
                                            fixed + "11\r\n",
                                            fixed + "10\r\n\r\nok",
                                            fixed + "11\r\n\r\nelevenbytes",
                                            fixed + "-1\r\n\r\n",
                                            chunked + "5\r\nhello\r\n",
                                            chunked + "b\r\nelevenbytes\r\n0\r\n\r\n",
                                            chunked + "1;" + std::string(20000, 'x')};
  for (const std::string& cut : answers) {
    std::future<HttpResult> call = Send("/a");
    ServerConnection server = Accept();
    server.ReadHead();
    server.Write(cut);
    server.Close();
    EXPECT_EQ(call.get().ec, ResultCode::kTruncatedAnswer) << cut;
  }
}

// Guards against a parser that needs an answer in one piece.
TEST_F(ConnectionPoolTest, AnswersInPiecesAreWhole) {
  Listen();
  const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
  for (const std::string& answer :
       {head + "Content-Length: 2\r\n\r\nok",
        head + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"}) {
    std::future<HttpResult> call = Send("/a");
    ServerConnection server = Accept();
    server.ReadHead();
    for (const char it : answer) {
      server.Write({it});
      std::this_thread::sleep_for(milliseconds(3));
    }
    const HttpResult result = call.get();
    EXPECT_FALSE(result.ec);
    EXPECT_EQ(result.response.body, "ok");
  }
}

// Guards against a request that is cut where the socket takes a part of it.
TEST_F(ConnectionPoolTest, LongRequestIsWrittenInFull) {
  Listen();
  HttpRequest request{"POST", "/a", {}, std::string(size_t{32} << 20, 'x')};
  std::future<HttpResult> call = Send(request, kTimeout);
  ServerConnection server = Accept();
  server.ReadHead();
  EXPECT_EQ(server.ReadBytes(request.body.size()), request.body.size());
  server.Write(kGood);
  EXPECT_FALSE(call.get().ec);
}

// Guards against a task that waits for its worker's silence although its order was not sent.
TEST_F(ConnectionPoolTest, CallsThatAreNotSentAreToldApart) {
  EXPECT_EQ(Send("/refused").get().ec, ResultCode::kTargetUnreachable);
  Listen(0);
  const ServerLane reachable = lane;
  lane.endpoint.address = "no address";
  EXPECT_EQ(Send("/a").get().ec, ResultCode::kTargetUnreachable);
  lane = reachable;
  EXPECT_EQ(Send("/a b").get().ec, ResultCode::kTargetUnreachable);
  EXPECT_EQ(Send({"GET", "/a", {{"X", "b\r\nY: c"}}, ""}, kTimeout).get().ec,
            ResultCode::kTargetUnreachable);
  EXPECT_EQ(Send("/no-time", Duration::zero()).get().ec, ResultCode::kTargetUnreachable);
  EXPECT_FALSE(HasConnection(kShort));
  // The first call takes the only place in the queue of new connections, so the others hang.
  std::future<HttpResult> queued = Send("/queued", kTimeout);
  ASSERT_TRUE(HasConnection(kTimeout));
  lane.lane = 1;
  std::future<HttpResult> hangs = Send("/hangs", kShort);
  EXPECT_EQ(hangs.get().ec, ResultCode::kTargetUnreachable);
}

// Guards against a call that is sent after its caller was told that it was not.
TEST_F(ConnectionPoolTest, CallThatFindsNoConnectionInTimeIsNotSent) {
  Listen();
  std::future<HttpResult> first = Send("/a");
  ServerConnection server = Accept();
  server.ReadHead();
  EXPECT_EQ(Send("/waits", kShort).get().ec, ResultCode::kTargetUnreachable);
  std::future<HttpResult> next = Send("/next");
  server.Write(kGood);
  EXPECT_FALSE(first.get().ec);
  EXPECT_EQ(server.ReadHead().rfind("GET /next ", 0), 0U);
  server.Write(kGood);
  EXPECT_FALSE(next.get().ec);
}

// Guards against calls without a result, and against results after the end of the pool.
TEST_F(ConnectionPoolTest, EndOfThePoolEndsItsCalls) {
  Listen();
  std::future<HttpResult> sent = Send("/sent");
  ServerConnection server = Accept();
  server.ReadHead();
  std::future<HttpResult> waiting = Send("/waiting");
  pool.reset();
  ASSERT_EQ(sent.wait_for(Duration::zero()), std::future_status::ready);
  ASSERT_EQ(waiting.wait_for(Duration::zero()), std::future_status::ready);
  EXPECT_EQ(sent.get().ec, ResultCode::kTruncatedAnswer);
  EXPECT_EQ(waiting.get().ec, ResultCode::kTargetUnreachable);
  EXPECT_TRUE(server.IsClosedByClient());
}

// Guards against an owner that steps down and keeps the connections that its successor needs.
TEST_F(ConnectionPoolTest, DisconnectClosesBusyConnectionsAfterTheirAnswers) {
  Listen();
  lane.max_connections = 2;
  std::future<HttpResult> idle = Send("/idle");
  std::future<HttpResult> busy = Send("/busy");
  ServerConnection first = Accept();
  ServerConnection second = Accept();
  EXPECT_EQ(first.ReadHead().rfind("GET /idle ", 0), 0U);
  first.Write(kGood);
  EXPECT_FALSE(idle.get().ec);
  pool->Disconnect();
  EXPECT_TRUE(first.IsClosedByClient());
  second.ReadHead();
  second.Write(kGood);
  EXPECT_FALSE(busy.get().ec);
  EXPECT_TRUE(second.IsClosedByClient());
}

// Guards against an owner that steps down and opens connections for the calls that waited.
TEST_F(ConnectionPoolTest, DisconnectEndsTheCallsThatWait) {
  Listen();
  std::future<HttpResult> busy = Send("/busy");
  ServerConnection server = Accept();
  server.ReadHead();
  std::future<HttpResult> waiting = Send("/waiting");
  pool->Disconnect();
  EXPECT_EQ(waiting.get().ec, ResultCode::kTargetUnreachable);
  server.Write(kGood);
  EXPECT_FALSE(busy.get().ec);
  EXPECT_TRUE(server.IsClosedByClient());
  EXPECT_FALSE(HasConnection(kShort));
}

// Guards against a connection for each call that has waited too long behind a silent server.
TEST_F(ConnectionPoolTest, CallsThatWaitedTooLongOpenNoConnection) {
  Listen();
  std::vector<std::future<HttpResult>> results;
  const TimePoint deadline = Now() + kShort;
  // A call that this thread sends late must have no time left either.
  for (int n = 0; n < 5; ++n) results.push_back(Send("/a", deadline - milliseconds(n) - Now()));
  ServerConnection server = Accept();
  EXPECT_EQ(results.front().get().ec, ResultCode::kTimeout);
  for (size_t n = 1; n < results.size(); ++n) {
    EXPECT_EQ(results[n].get().ec, ResultCode::kTargetUnreachable);
  }
  EXPECT_FALSE(HasConnection(kShort));
}

// Guards against connections to servers that no longer exist and stay open for ever.
TEST_F(ConnectionPoolTest, ExcessLanesCloseIdleConnections) {
  Listen();
  pool = std::make_unique<ConnectionPool>(ConnectionPoolOptions{100, 0, Duration::zero()});
  std::future<HttpResult> first = Send("/a");
  ServerConnection server = Accept();
  server.ReadHead();
  server.Write(kGood);
  EXPECT_FALSE(first.get().ec);
  lane.lane = 1;
  std::future<HttpResult> second = Send("/b");
  EXPECT_TRUE(server.IsClosedByClient());
}

}  // namespace
}  // namespace pomelopond::http
