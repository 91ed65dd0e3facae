#include "platform/worker_api.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "http/http_server.h"
#include "platform/json_text.h"

namespace pomelopond::platform {
namespace {

using dispatch::OrderStatus;
using dispatch::Report;

Report ReadBody(const std::string& body) {
  http::HttpResult result;
  result.response.status = 200;
  result.response.body = body;
  return ReadReport(result);
}

Report ReadRows(const std::string& running, const std::string& ended) {
  return ReadBody(R"({"clock_ms":1000,"born":5,"running":[)" + running + R"(],"ended":[)" + ended +
                  "]}");
}

constexpr const char* kRun = R"(["a.b.0.1.2",7,"s",40.9,12.5])";
constexpr const char* kEnd = R"([3,"a.b.0.1.3",8,"done","c"])";
// Not in the range of any number of a report.
constexpr const char* kOddNumbers[] = {
    "1e300", "-1e300", "-1", "9223372036854775807", "18446744073709551615", "\"5\"", "null"};

TEST(WorkerApiTest, ReadsRunsWithTheirTasks) {
  const Report report = ReadRows(kRun, kEnd);
  EXPECT_EQ(report.answer.status, OrderStatus::kAccepted);
  EXPECT_EQ(report.answer.clock_ms, 1000);
  EXPECT_EQ(report.answer.incarnation, 5);
  ASSERT_EQ(report.active.size(), 1U);
  EXPECT_EQ(TaskName(report.active[0].id.task), "a.b.0.1.2");
  EXPECT_EQ(report.active[0].id.run, 7);
  EXPECT_EQ(report.active[0].percent, 40);
  EXPECT_EQ(report.active[0].load, 12);
  ASSERT_EQ(report.ended.size(), 1U);
  EXPECT_EQ(TaskName(report.ended[0].id.task), "a.b.0.1.3");
  EXPECT_EQ(report.ended[0].sequence, 3);
  EXPECT_EQ(report.ended[0].id.run, 8);
}

// Guards against a cut list of ended runs that is taken for all of them, also where rows of other
// systems are left out of it.
TEST(WorkerApiTest, FullListOfEndsIsCut) {
  const std::string foreign = R"(["x","foreign",8,"done","c"])";
  std::string ended = foreign;
  for (int n = 2; n < 500; ++n) ended += "," + std::string(kEnd);
  EXPECT_FALSE(ReadRows("", ended).is_cut);
  const Report cut = ReadRows("", ended + "," + kEnd);
  EXPECT_TRUE(cut.is_cut);
  EXPECT_LT(cut.ended.size(), 500U);
}

// Guards against a name of another system that is taken for one of our tasks.
TEST(WorkerApiTest, OnlyNamesThatWeGiveAreTasks) {
  for (const char* odd : {"", ".", "...", "a", "a.0.0", ".0.0.0", "a.0.0.", "a..0.0", "a.0.0.x",
                          "a.0.0.1x", "a.0.0.-1", "a.0.0.+1", "a.0.0. 1", "a.0.0.01",
                          "a.4294967296.0.0", "a.0.0.2147483648", "a.0.0.99999999999999999999"}) {
    EXPECT_FALSE(ParseTaskName(odd).ok()) << odd;
  }
  for (const char* it : {"a.0.0.0", "a.2147483647.10.2", "a.b.0.1.2", "..0.0.0"}) {
    const Result<jobs::TaskId> read = ParseTaskName(it);
    ASSERT_TRUE(read.ok()) << it;
    EXPECT_EQ(TaskName(read.value), it);
  }
}

// Guards against a run of another system that hides our runs on the same worker. Its end keeps its
// position, since the worker would report it for ever if it were not acknowledged.
TEST(WorkerApiTest, ForeignRunsLeaveOursInTheReport) {
  const Report report =
      ReadRows(std::string(R"(["backup",1e300],["a.4294967296.1.2",1,"",1],)") + kRun,
               std::string(R"([1e300,"backup"],[2,"backup",1,"failed",""],)") + kEnd);
  EXPECT_EQ(report.answer.status, OrderStatus::kAccepted);
  ASSERT_EQ(report.active.size(), 1U);
  EXPECT_EQ(TaskName(report.active[0].id.task), "a.b.0.1.2");
  ASSERT_EQ(report.ended.size(), 2U);
  EXPECT_EQ(report.ended[0].sequence, 2);
  EXPECT_EQ(report.ended[0].id.task.job, "");
  EXPECT_EQ(report.ended[0].kind, dispatch::EndKind::kStopped);
  EXPECT_EQ(TaskName(report.ended[1].id.task), "a.b.0.1.3");
}

// Guards against a number out of range in a row that may be ours: it would wrap, and sums with it
// would overflow. Without the row, our run would seem to have ended.
TEST(WorkerApiTest, ReportsWithAMalformedRowOfOursAreNoAnswer) {
  for (const std::string odd : kOddNumbers) {
    EXPECT_EQ(ReadRows(R"(["a.0.0.0",)" + odd + R"(,"",1,1])", kEnd).answer.status,
              OrderStatus::kNoAnswer)
        << odd;
    EXPECT_EQ(ReadRows(R"(["a.0.0.0",1,"",)" + odd + ",1]", kEnd).answer.status,
              OrderStatus::kNoAnswer)
        << odd;
    EXPECT_EQ(ReadRows(R"(["a.0.0.0",1,"",1,)" + odd + "]", kEnd).answer.status,
              OrderStatus::kNoAnswer)
        << odd;
    EXPECT_EQ(ReadRows(kRun, "[" + odd + R"(,"a.0.0.0",1,"done",""])").answer.status,
              OrderStatus::kNoAnswer)
        << odd;
    EXPECT_EQ(ReadRows(kRun, R"([1,"a.0.0.0",)" + odd + R"(,"done",""])").answer.status,
              OrderStatus::kNoAnswer)
        << odd;
  }
  EXPECT_EQ(ReadRows(R"(["a.0.0.0",1,"",101])", "").answer.status, OrderStatus::kNoAnswer);
  EXPECT_EQ(ReadRows("[5,1,\"\",1]", "").answer.status, OrderStatus::kNoAnswer);
  EXPECT_EQ(ReadRows("null", "").answer.status, OrderStatus::kNoAnswer);
}

// Guards against a clock or start time out of range that replaces the right one.
TEST(WorkerApiTest, ClocksOutOfRangeAreNotReported) {
  for (const std::string odd : kOddNumbers) {
    const Report report =
        ReadBody(R"({"clock_ms":)" + odd + R"(,"born":)" + odd + R"(,"running":[],"ended":[]})");
    EXPECT_EQ(report.answer.status, OrderStatus::kAccepted) << odd;
    EXPECT_EQ(report.answer.clock_ms, 0) << odd;
    EXPECT_EQ(report.answer.incarnation, 0) << odd;
  }
}

std::string TextOf(const Report& report) {
  Json text = {static_cast<int>(report.answer.status), report.answer.clock_ms,
               report.answer.incarnation, report.is_cut};
  for (const dispatch::ActiveRun& it : report.active) {
    text.push_back({TaskName(it.id.task), it.id.run, it.checkpoint, it.percent, it.load});
  }
  for (const dispatch::EndedRun& it : report.ended) {
    text.push_back(
        {it.sequence, TaskName(it.id.task), it.id.run, static_cast<int>(it.kind), it.checkpoint});
  }
  return text.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Returns whether a body is read alike without a JSON document and with one, which an unknown
// member makes the reader use.
bool IsReadAlike(const std::string& body, int status) {
  http::HttpResult plain;
  plain.response.status = status;
  plain.response.body = body;
  http::HttpResult general = plain;
  general.response.body.insert(1, "\"x\":0,");
  return TextOf(ReadReport(plain)) == TextOf(ReadReport(general)) &&
         TextOf({ReadAnswer(plain), {}, {}}) == TextOf({ReadAnswer(general), {}, {}});
}

std::string BodyOf(const std::string& clock, const std::string& percent, const std::string& more) {
  return R"({"clock_ms":)" + clock + R"(,"born":1700000000000,"reason":"room","running":[)" + kRun +
         R"(,["a.0.0.0",1,"",)" + percent + R"(]],"ended":[)" + kEnd + "]" + more + "}";
}

// Guards against a short cut for usual bodies that reads unusual ones in another way.
RC_GTEST_PROP(WorkerApiTest, MutatedBodiesAreReadAlike, ()) {
  std::string body = BodyOf("482113", "0", "");
  const auto text = rc::gen::elementOf(std::vector<std::string>{
      "",     " ",    ",",      ":",    "[",    "]",      "{",   "}",    "\"",
      "\\",   "0",    "9",      "00",   "-1",   ".",      ".5",  "1e3",  "é",
      "null", "done", "lapsed", "\x01", "\xff", ".0.0.0", "[],", "\"\","});
  const int changes = *rc::gen::inRange(0, 4);
  for (int n = 0; n < changes; ++n) {
    const auto at = *rc::gen::inRange<size_t>(2, body.size());
    body.replace(at, *rc::gen::inRange<size_t>(0, 12), *text);
  }
  RC_ASSERT(IsReadAlike(body, *rc::gen::element(200, 409, 421, 503)));
}

TEST(WorkerApiTest, OddBodiesAreReadAlike) {
  const std::string numbers[] = {"7.5",
                                 "1e2",
                                 "-0",
                                 "007",
                                 "0.99999999999999999",
                                 "99.999999999999999",
                                 "999999999999999",
                                 "999999999999999.96",
                                 "1000000000000000",
                                 "1000000000000001",
                                 "99999999999999999999.5",
                                 "7.",
                                 "7.5.5",
                                 "101",
                                 "\"7\""};
  for (const std::string& it : numbers) {
    EXPECT_TRUE(IsReadAlike(BodyOf(it, "0", ""), 200)) << it;
    EXPECT_TRUE(IsReadAlike(BodyOf("1", it, ""), 200)) << it;
  }
  const std::vector<std::string> members = {R"(,"ended":[])",
                                            R"(,"running":[])",
                                            R"(,"ended":null)",
                                            R"(,"clock_ms":2)",
                                            R"(,"reason":"old")",
                                            R"(,"reason":"\u006fld")",
                                            R"(,"x":{})",
                                            ",",
                                            "}",
                                            "]"};
  for (const std::string& more : members) {
    for (const int status : {200, 409}) {
      EXPECT_TRUE(IsReadAlike(BodyOf("1", "0", more), status)) << more;
    }
  }
}

// Guards against an order that a worker can't read, or reads as another one.
TEST(WorkerApiTest, BodiesOfOrdersAreJson) {
  const std::string odd = "a\"b\\c\n\x7f\xc3\xa9 d";
  JsonObjectText text;
  text.Add("a", INT64_MIN).Add("b", odd).Add("c", "").Add("d", INT64_MAX).Add("e", "spec-1");
  const Json want = {{"a", INT64_MIN}, {"b", odd}, {"c", ""}, {"d", INT64_MAX}, {"e", "spec-1"}};
  EXPECT_EQ(Json::parse(text.Take()), want);
}

// A worker that answers no call until it is told to.
class HeldCallsTest : public ::testing::Test {
 protected:
  HeldCallsTest()
      : server(kEndpoint, 1000,
               [this](const http::HttpRequest& it, const http::Reply& reply) {
                 const std::lock_guard<std::mutex> lock(mutex);
                 held.emplace_back(it.path, reply);
               }),
        api(&metrics) {
    EXPECT_FALSE(server.Start());
  }
  ~HeldCallsTest() override {
    while (answered.load() < sent) {
      AnswerHeld();
      std::this_thread::sleep_for(kPoll);
    }
  }

  // Returns the number of held calls by path once it has not risen for a while. Orders that are
  // held for longer than their timeout of 1 s make room for others.
  std::map<std::string, int> SettledCalls() {
    size_t n = 0;
    for (int polls = 0; polls < 20; ++polls) {
      std::this_thread::sleep_for(kPoll);
      const std::lock_guard<std::mutex> lock(mutex);
      if (held.size() != n) polls = 0;
      n = held.size();
    }
    const std::lock_guard<std::mutex> lock(mutex);
    std::map<std::string, int> counts;
    for (const auto& [path, reply] : held) counts[path] += 1;
    return counts;
  }
  void AnswerHeld() {
    std::vector<std::pair<std::string, http::Reply>> taken;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      taken.swap(held);
    }
    for (const auto& [path, reply] : taken) reply(http::JsonResponse(200, {{"clock_ms", 1}}));
  }

  static constexpr Duration kPoll = std::chrono::milliseconds(5);
  const Endpoint kEndpoint{"127.77.2.200", 7600};
  const dispatch::WorkerAddress worker{"w1", kEndpoint};
  std::mutex mutex;  // guards `held`
  std::vector<std::pair<std::string, http::Reply>> held;
  std::atomic<int> answered{0};
  int sent = 0;
  metrics::Registry metrics;
  http::HttpServer server;
  WorkerApi api;
};

// Guards against an owner that takes up the connections of a worker (review case 4), and against a
// heartbeat that waits behind orders.
TEST_F(HeldCallsTest, CallsToAWorkerUseThreeConnections) {
  for (int n = 0; n < 20; ++n) {
    sent += 2;
    dispatch::StartOrder start;
    start.to = worker;
    api.Start(start, [this](const dispatch::Answer&) { answered += 1; });
    api.Stop({worker, 1, {}}, [this](const dispatch::Answer&) { answered += 1; });
  }
  sent += 1;
  api.Heartbeat({worker, 1, 0, 0, {}}, [this](const Report&) { answered += 1; });
  std::map<std::string, int> calls = SettledCalls();
  // The heartbeat, and the report that is asked for before the first start.
  EXPECT_EQ(calls["/api/hold"], 2);
  EXPECT_EQ(calls["/api/run-start"], 0);
  EXPECT_EQ(calls["/api/run-stop"], 1);
}

// Guards against an acknowledgement that a worker gets which has started again since: it would
// forget an end that it has not listed, and the task would be done twice (review/9). The lease is
// on the clock of the earlier process as well.
TEST(WorkerApiRestartTest, NothingIsAcknowledgedOnAnotherConnection) {
  const Endpoint endpoint{"127.77.2.201", 7600};
  std::mutex mutex;
  std::vector<Json> bodies;
  const auto handler = [&](const http::HttpRequest& request, const http::Reply& reply) {
    const std::lock_guard<std::mutex> lock(mutex);
    bodies.push_back(Json::parse(request.body));
    reply(http::JsonResponse(
        200, {{"clock_ms", 1}, {"running", Json::array()}, {"ended", Json::array()}}));
  };
  metrics::Registry metrics;
  WorkerApi api(&metrics);
  const auto hold = [&](uint64_t connection, int64_t acknowledged) {
    std::promise<Report> answer;
    api.Heartbeat({{"w1", endpoint}, 7, 5000, acknowledged, {}, connection},
                  [&answer](Report it) { answer.set_value(std::move(it)); });
    return answer.get_future().get();
  };
  uint64_t connection = 0;
  for (const int64_t acknowledged : {3, 171, 500}) {
    auto server = std::make_unique<http::HttpServer>(endpoint, 1000, handler);
    ASSERT_FALSE(server->Start());
    Report report = hold(connection, acknowledged);
    for (int n = 0; n < 20 && report.answer.status != OrderStatus::kAccepted; ++n) {
      report = hold(connection, acknowledged);
    }
    ASSERT_EQ(report.answer.status, OrderStatus::kAccepted);
    if (connection != 0) {
      EXPECT_EQ(bodies.back().at("last_seen"), 0);
      EXPECT_EQ(bodies.back().count("until_ms"), 0U);
    }
    connection = report.connection;
    hold(connection, acknowledged);
    EXPECT_EQ(bodies.back().at("last_seen"), acknowledged);
    EXPECT_EQ(bodies.back().at("until_ms"), 5000);
    server->Stop(std::chrono::seconds(20));
  }
}

}  // namespace
}  // namespace pomelopond::platform
