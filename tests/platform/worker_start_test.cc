// Start orders and the incarnations of a worker that they reach.
#include <gtest/gtest.h>

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/http_server.h"
#include "platform/json_text.h"
#include "platform/worker_api.h"

namespace pomelopond::platform {
namespace {

using dispatch::Answer;
using dispatch::OrderStatus;

constexpr Duration kWait = std::chrono::seconds(20);

// A worker that names its incarnation in reports only.
class WorkerStartTest : public ::testing::Test {
 protected:
  void Listen(int64_t incarnation) {
    if (server) server->Stop(kWait);
    born = incarnation;
    server = std::make_unique<http::HttpServer>(
        endpoint, 1000, [this](const http::HttpRequest& it, const http::Reply& reply) {
          const std::lock_guard<std::mutex> lock(mutex);
          calls[it.path] += 1;
          if (it.path != "/api/hold") return reply(http::JsonResponse(200, {{"clock_ms", 1000}}));
          reply(http::JsonResponse(report_status, {{"clock_ms", 1000},
                                                   {"born", born},
                                                   {"reason", "fence"},
                                                   {"running", Json::array()},
                                                   {"ended", Json::array()}}));
        });
    ASSERT_FALSE(server->Start());
  }
  ~WorkerStartTest() override {
    if (server) server->Stop(kWait);
  }

  std::future<Answer> Send(int64_t incarnation) {
    dispatch::StartOrder it;
    it.to = {"w1", endpoint};
    it.epoch = 7;
    it.lease_end_ms = 6000;
    it.run = {{"a", 0, 0, 0}, 1};
    it.spec = "x";
    it.incarnation = incarnation;
    const auto promise = std::make_shared<std::promise<Answer>>();
    api.Start(it, [promise](const Answer& answer) { promise->set_value(answer); });
    return promise->get_future();
  }
  Answer Start(int64_t incarnation) { return Send(incarnation).get(); }
  int Count(const std::string& path) {
    const std::lock_guard<std::mutex> lock(mutex);
    return calls[path];
  }

  Endpoint endpoint{"", 7600};  // each test has an address of its own
  std::mutex mutex;
  std::map<std::string, int> calls;
  int64_t born = 0;
  int report_status = 200;
  std::unique_ptr<http::HttpServer> server;
  metrics::Registry metrics;
  WorkerApi api{&metrics};
};

// Guards against a task that runs twice: a later incarnation carries out a start whose lease end is
// a time on the clock of the earlier one (issue 77).
TEST_F(WorkerStartTest, StartReachesNoLaterIncarnation) {
  endpoint.address = "127.77.2.202";
  Listen(5);
  const Answer first = Start(5);
  EXPECT_EQ(first.status, OrderStatus::kAccepted);
  EXPECT_EQ(first.incarnation, 5);
  Listen(6);
  // The first call may find the connection that has just ended.
  Answer second = Start(5);
  for (int n = 0; n < 20 && Count("/api/hold") < 2; ++n) second = Start(5);
  EXPECT_EQ(second.status, OrderStatus::kUnreachable);
  EXPECT_EQ(Count("/api/run-start"), 1);
  EXPECT_EQ(Start(6).status, OrderStatus::kAccepted);
}

// Guards against a report for each start in a burst.
TEST_F(WorkerStartTest, BurstNeedsOneReportAConnection) {
  endpoint.address = "127.77.2.203";
  Listen(5);
  std::vector<std::future<Answer>> answers;
  for (int n = 0; n < 50; ++n) answers.push_back(Send(5));
  for (std::future<Answer>& it : answers) EXPECT_EQ(it.get().status, OrderStatus::kAccepted);
  EXPECT_EQ(Count("/api/run-start"), 50);
  EXPECT_LE(Count("/api/hold"), 2);
}

// Guards against refusals that an owner takes for silence.
TEST_F(WorkerStartTest, RefusedReportTellsWhy) {
  endpoint.address = "127.77.2.204";
  Listen(5);
  const std::map<int, OrderStatus> answers = {{409, OrderStatus::kStaleEpoch},
                                              {421, OrderStatus::kWrongIncarnation},
                                              {503, OrderStatus::kUnhealthy},
                                              {500, OrderStatus::kUnreachable}};
  for (const auto& [status, expected] : answers) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      report_status = status;
    }
    EXPECT_EQ(Start(5).status, expected);
  }
  EXPECT_EQ(Count("/api/run-start"), 0);
}

}  // namespace
}  // namespace pomelopond::platform
