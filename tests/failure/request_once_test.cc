// Failure tests of requests that must run at most once, checked against the target's own count.
#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "tests/support/cluster.h"
#include "tests/support/once.h"

namespace pomelopond::support {
namespace {

constexpr const char* kBuy = "/v1/services/svc/buy";
constexpr Duration kLongTimeout = std::chrono::seconds(60);
constexpr Duration kShortTimeout = std::chrono::milliseconds(400);

using Names = std::vector<std::string>;

struct RequestOnceTest : testing::Test {
  void Start(int net, int64_t service_ms = 1) {
    ClusterOptions options;
    options.net = net;
    options.service_ms = service_ms;
    cluster = std::make_unique<Cluster>(options);
    cluster->StartFakes();
    for (int n = 0; n < cluster->entry_hosts(); ++n) {
      for (const char* it : {"admin", "router", "scheduler"}) cluster->StartProgram(it, n);
    }
    ASSERT_TRUE(cluster->PutDefaultReleaseInForce());
  }

  // Sends the request through all routers at once and waits for all answers.
  std::vector<http::HttpResult> SendThroughAll(const std::string& id, const std::string& token,
                                               Duration deadline) {
    std::vector<http::HttpResult> results(static_cast<size_t>(cluster->entry_hosts()));
    std::vector<std::thread> threads;
    for (int n = 0; n < cluster->entry_hosts(); ++n) {
      threads.emplace_back([this, n, &results, &id, &token, deadline] {
        results[static_cast<size_t>(n)] =
            SendWithToken(cluster->Router(n), kBuy, id, token, deadline, &log);
      });
    }
    for (std::thread& it : threads) it.join();
    return results;
  }

  int64_t RunsOf(const std::string& id) const {
    const Json counts = Get(cluster->Targets().front(), "/counts");
    return counts.is_null() ? 0 : counts["runs"].value(id, int64_t{0});
  }

  bool RouterIsReady(int n) const {
    return Send(cluster->Router(n), "GET", "/readyz").response.status == 200;
  }

  void ExpectNoViolation() const {
    const Json counts = Get(cluster->Targets().front(), "/counts");
    ASSERT_FALSE(counts.is_null());
    const OutcomeCheck verdict = CheckOutcomes(log.All(), counts["runs"]);
    EXPECT_EQ(verdict.run_twice, Names{});
    EXPECT_EQ(verdict.false_not_run, Names{});
    EXPECT_EQ(verdict.false_done, Names{});
  }

  std::unique_ptr<Cluster> cluster;
  OutcomeLog log;
};

// Guards against a request that is dispatched twice, by two routers or by one router.
TEST_F(RequestOnceTest, DuplicatesThroughAllRoutersRunOnceAndGetTheSameAnswer) {
  Start(110, 20);
  for (int n = 0; n < 30; ++n) {
    const std::string id = "buy-" + std::to_string(n);
    const std::string token = FetchToken(cluster->Router(n % 3), kBuy);
    ASSERT_FALSE(token.empty());
    const std::vector<http::HttpResult> results = SendThroughAll(id, token, kLongTimeout);
    const http::HttpResult again =
        SendWithToken(cluster->Router((n + 1) % 3), kBuy, id, token, kLongTimeout, &log);
    for (const http::HttpResult& it : results) {
      EXPECT_EQ(it.response.status, 200) << it.response.body;
      EXPECT_EQ(it.response.body, again.response.body);
    }
    EXPECT_EQ(RunsOf(id), 1);
  }
  ExpectNoViolation();
}

// Guards against a retry by the router or its HTTP library after the target has run the request but
// the answer is lost, truncated, malformed or a redirect to another address.
TEST_F(RequestOnceTest, TargetsThatDoNotAnswerGetTheRequestOnce) {
  Start(111);
  const char* faults[] = {"lose_answers", "close_answers", "cut_answers", "garble_answers",
                          "redirect_answers"};
  for (const char* fault : faults) {
    for (int n = 0; n < 6; ++n) {
      const std::string id = std::string(fault) + "-" + std::to_string(n);
      const std::string token = FetchToken(cluster->Router(n % 3), kBuy);
      ASSERT_FALSE(token.empty());
      ASSERT_TRUE(SetFault(cluster->Targets().front(), {{fault, 1}}));
      SendThroughAll(id, token, std::chrono::seconds(2));
      EXPECT_EQ(RunsOf(id), 1) << id;
    }
  }
  ExpectNoViolation();
}

// Guards against the replacement of a killed router dispatching requests that the killed router may
// have dispatched, and against the outcome "not run" for such requests.
TEST_F(RequestOnceTest, KilledRouterLeavesItsOpenTokensUnknown) {
  Start(112, 300);
  for (int round = 0; round < 3; ++round) {
    std::vector<std::pair<std::string, std::string>> open;
    for (int n = 0; n < 8; ++n) {
      const std::string id = "buy-" + std::to_string(round) + "-" + std::to_string(n);
      open.emplace_back(id, FetchToken(cluster->Router(0), kBuy));
      ASSERT_FALSE(open.back().second.empty());
    }
    std::vector<std::thread> threads;
    // The last two tokens remain unused until the router is killed.
    for (size_t n = 0; n + 2 < open.size(); ++n) {
      threads.emplace_back([this, n, &open] {
        SendWithToken(cluster->Router(static_cast<int>(n % 3)), kBuy, open[n].first, open[n].second,
                      kLongTimeout, &log);
      });
    }
    EXPECT_TRUE(WaitUntil([this, &open] { return RunsOf(open[0].first) == 1; }));
    cluster->ProgramOf("router", 0).Kill();
    for (std::thread& it : threads) it.join();
    for (const auto& [id, token] : open) {
      const http::HttpResult result =
          SendWithToken(cluster->Router(1), kBuy, id, token, kLongTimeout, &log);
      EXPECT_EQ(http::HeaderOf(result.response.headers, http::kOutcomeHeader), "unknown");
    }
    cluster->StartProgram("router", 0);
    ASSERT_TRUE(WaitUntil([this] { return RouterIsReady(0); }));
    for (const auto& [id, token] : open) {
      for (const http::HttpResult& it : SendThroughAll(id, token, kLongTimeout)) {
        EXPECT_EQ(http::HeaderOf(it.response.headers, http::kOutcomeHeader), "unknown");
      }
    }
  }
  ExpectNoViolation();
}

// Guards against a second dispatch when the issuing router is paused past the deadline of its
// requests, the callers repeat them through other routers, and the paused router resumes.
TEST_F(RequestOnceTest, PausedRouterRunsItsRequestsAtMostOnce) {
  Start(113, 50);
  for (int round = 0; round < 4; ++round) {
    std::vector<std::pair<std::string, std::string>> open;
    for (int n = 0; n < 6; ++n) {
      const std::string id = "buy-" + std::to_string(round) + "-" + std::to_string(n);
      open.emplace_back(id, FetchToken(cluster->Router(0), kBuy));
      ASSERT_FALSE(open.back().second.empty());
    }
    std::vector<std::thread> threads;
    for (size_t n = 0; n < open.size(); ++n) {
      threads.emplace_back([this, n, &open] {
        SendWithToken(cluster->Router(static_cast<int>(n % 3)), kBuy, open[n].first, open[n].second,
                      kShortTimeout, &log);
      });
    }
    cluster->ProgramOf("router", 0).Signal(SIGSTOP);
    std::this_thread::sleep_for(2 * kShortTimeout);
    for (const auto& [id, token] : open) {
      SendWithToken(cluster->Router(1), kBuy, id, token, kShortTimeout, &log);
    }
    cluster->ProgramOf("router", 0).Signal(SIGCONT);
    for (std::thread& it : threads) it.join();
    ASSERT_TRUE(WaitUntil([this] { return RouterIsReady(0); }));
    for (const auto& [id, token] : open) SendThroughAll(id, token, kLongTimeout);
  }
  ExpectNoViolation();
}

// Guards against the outcome "not run" for a request that the issuer of its token may have
// dispatched: from a router that does not know the issuer, or because of a forwarding header that
// the caller has set itself.
TEST_F(RequestOnceTest, RouterThatCannotAskTheIssuerNeverSaysNotRun) {
  Start(114);
  const std::string token = FetchToken(cluster->Router(0), kBuy);
  EXPECT_EQ(SendWithToken(cluster->Router(0), kBuy, "a", token, kLongTimeout, &log).response.status,
            200);
  const http::HttpResult forwarded = SendWithToken(
      cluster->Router(1), kBuy, "a", token, kLongTimeout, &log, {{http::kForwardedHeader, "1"}});
  EXPECT_EQ(http::HeaderOf(forwarded.response.headers, http::kOutcomeHeader), "unknown");
  // The token names a host as if it had been removed from the settings after it issued the token.
  const std::string removed = "entry-9" + token.substr(token.find('.'));
  const http::HttpResult foreign =
      SendWithToken(cluster->Router(1), kBuy, "a", removed, kLongTimeout, &log);
  EXPECT_EQ(http::HeaderOf(foreign.response.headers, http::kOutcomeHeader), "unknown");
  EXPECT_TRUE(http::HeaderOf(foreign.response.headers, http::kTokenHeader).empty());
  ExpectNoViolation();
}

// Guards against a duplicate request that waits for the first one past its own deadline.
TEST_F(RequestOnceTest, WaitingDuplicateIsAnsweredAtItsOwnDeadline) {
  Start(115);
  ASSERT_TRUE(SetFault(cluster->Targets().front(), {{"lose_answers", 1}}));
  const std::string token = FetchToken(cluster->Router(0), kBuy);
  std::thread first(
      [this, &token] { SendWithToken(cluster->Router(0), kBuy, "a", token, kLongTimeout, &log); });
  EXPECT_TRUE(WaitUntil([this] { return RunsOf("a") == 1; }));
  const http::HttpResult duplicate =
      SendWithToken(cluster->Router(0), kBuy, "a", token, kShortTimeout, &log);
  EXPECT_EQ(http::HeaderOf(duplicate.response.headers, http::kOutcomeHeader), "unknown");
  cluster->Fake("fake-target").Signal(SIGTERM);  // fails the first request
  first.join();
  for (const auto& [id, outcomes] : log.All()) {
    for (const std::string& it : outcomes) EXPECT_EQ(it, "unknown");
  }
}

// Guards against the outcome "not run" for a request whose first attempt was sent, when later
// attempts find no target.
TEST_F(RequestOnceTest, RefusalOfALaterAttemptDoesNotSayNotRun) {
  Start(116, 30000);
  http::HttpResult result;
  std::thread caller([this, &result] {
    result = Send(cluster->Router(0), "POST", "/v1/services/svc/quote", "", {{"X-Request-Id", "a"}},
                  kLongTimeout);
  });
  EXPECT_TRUE(WaitUntil([this] { return RunsOf("a") == 1; }));
  cluster->Fake("fake-target").Kill();
  caller.join();
  EXPECT_EQ(http::HeaderOf(result.response.headers, http::kOutcomeHeader), "unknown")
      << result.response.body;
}

// Guards against the outcome "not run" for a duplicate from a router that has no release yet, for
// example after a restart.
TEST_F(RequestOnceTest, RouterWithoutAReleaseFollowsTheToken) {
  Start(124);
  const std::string own = FetchToken(cluster->Router(1), kBuy);
  const std::string token = FetchToken(cluster->Router(0), kBuy);
  EXPECT_EQ(SendWithToken(cluster->Router(1), kBuy, "a", own, kLongTimeout, &log).response.status,
            200);
  EXPECT_EQ(SendWithToken(cluster->Router(0), kBuy, "b", token, kLongTimeout, &log).response.status,
            200);
  cluster->ProgramOf("admin", 1).Kill();
  cluster->ProgramOf("router", 1).Kill();
  cluster->StartProgram("router", 1);
  EXPECT_TRUE(WaitUntil([this] { return !Get(cluster->Router(1), "/healthz").is_null(); }));
  const http::HttpResult gone =
      SendWithToken(cluster->Router(1), kBuy, "a", own, kLongTimeout, &log);
  EXPECT_EQ(http::HeaderOf(gone.response.headers, http::kOutcomeHeader), "unknown");
  const http::HttpResult forwarded =
      SendWithToken(cluster->Router(1), kBuy, "b", token, kLongTimeout, &log);
  EXPECT_EQ(forwarded.response.status, 200) << forwarded.response.body;
  ExpectNoViolation();
}

// Guards against a duplicate that is dispatched again because a newer release lists its operation
// as idempotent, or that is refused as "not run" because the service was withdrawn.
TEST_F(RequestOnceTest, TokenHoldsWhenTheReleaseChanges) {
  Start(125);
  const std::string token = FetchToken(cluster->Router(0), kBuy);
  EXPECT_EQ(SendWithToken(cluster->Router(0), kBuy, "a", token, kLongTimeout, &log).response.status,
            200);
  ASSERT_TRUE(WaitUntil([this] {
    return cluster->ApplyNote(
        {{"base", 1},
         {"author", "test"},
         {"change",
          {{"services", {{"svc", {{"team", "team"}, {"non_idempotent", Json::array()}}}}}}}});
  }));
  EXPECT_TRUE(WaitUntil([this] { return FetchToken(cluster->Router(0), kBuy).empty(); }));
  for (const http::HttpResult& it : SendThroughAll("a", token, kLongTimeout)) {
    EXPECT_EQ(it.response.status, 200) << it.response.body;
  }
  ExpectNoViolation();
}

}  // namespace
}  // namespace pomelopond::support
