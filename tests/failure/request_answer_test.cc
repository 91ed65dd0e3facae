// Failure tests of answers: each caller gets the complete answer to its own request or an error.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "tests/support/cluster.h"

namespace pomelopond::support {
namespace {

constexpr const char* kQuote = "/v1/services/svc/quote";
constexpr Duration kLongTimeout = std::chrono::seconds(60);

// Returns the request id that the target echoes, or an empty string if the answer is incomplete.
std::string EchoedId(const http::HttpResponse& response) {
  const Result<Json> body = ParseJson(response.body);
  return body.ok() ? body.value.value("request_id", "") : "";
}

// Guards against truncated, malformed, lost and duplicate answers that reach a caller as complete
// ones, and against an answer that reaches the caller of another request.
TEST(RequestAnswerTest, EachCallerGetsTheWholeAnswerToItsOwnRequest) {
  ClusterOptions options;
  options.net = 117;
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  std::atomic<bool> over{false};
  std::atomic<int> whole{0};
  std::vector<std::thread> threads;
  for (int caller = 0; caller < 6; ++caller) {
    threads.emplace_back([&cluster, &over, &whole, caller] {
      for (int n = 0; !over.load(); ++n) {
        const std::string id = std::to_string(caller) + "-" + std::to_string(n);
        const http::HttpResult result =
            Send(cluster.Router(caller % 3), "POST", kQuote, id,
                 {{"X-Request-Id", id}, {http::kTimeoutHeader, "1000"}}, kLongTimeout);
        ASSERT_FALSE(result.ec) << result.ec.message();
        const std::string outcome = http::HeaderOf(result.response.headers, http::kOutcomeHeader);
        if (outcome != "done") continue;
        EXPECT_EQ(EchoedId(result.response), id);
        whole.fetch_add(1);
      }
    });
  }
  for (const char* fault : {"unasked_answers", "cut_answers", "garble_answers", "close_answers",
                            "lose_answers", "unasked_answers"}) {
    const int before = whole.load();
    EXPECT_TRUE(SetFault(cluster.Targets().front(), {{fault, 30}}));
    EXPECT_TRUE(WaitUntil([&whole, before] { return whole.load() >= before + 100; })) << fault;
  }
  over.store(true);
  for (std::thread& it : threads) it.join();
}

}  // namespace
}  // namespace pomelopond::support
