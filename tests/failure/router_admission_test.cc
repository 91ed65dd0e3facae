// Failure tests of the router's admission control and of targets that announce that they leave.
#include <gtest/gtest.h>

#include "tests/support/cluster.h"

namespace pomelopond::support {
namespace {

constexpr const char* kPath = "/v1/services/svc/read";

std::string ResultOf(const http::HttpResult& result) {
  const Result<Json> body = ParseJson(result.response.body);
  return body.ok() && body.value.is_object() ? body.value.value("result", "") : "";
}

std::string OutcomeOfAnswer(const http::HttpResult& result) {
  return http::HeaderOf(result.response.headers, http::kOutcomeHeader);
}

// Returns how often the targets ran the request with this id, or -1 if the count cannot be read.
int64_t RunsOf(const Cluster& cluster, const std::string& id) {
  const Json counts = Get(cluster.Targets().front(), "/counts");
  return counts.is_object() ? counts["runs"].value(id, int64_t{0}) : -1;
}

// Guards against accepting requests of a caller above its limit, and against refusing requests of
// other callers because of it.
TEST(RouterAdmissionTest, CallerAboveItsLimitIsRefusedAndOthersAreNot) {
  ClusterOptions options;
  options.net = 197;
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  const Json note = {
      {"base", 1}, {"author", "test"}, {"add", {{"limits", {{"greedy", {{"per_second", 3}}}}}}}};
  ASSERT_TRUE(WaitUntil([&cluster, &note] { return cluster.ApplyNote(note); }));
  http::HttpResult refused;
  ASSERT_TRUE(WaitUntil([&cluster, &refused] {
    refused = Send(cluster.Router(0), "GET", kPath, {}, {{http::kCallerHeader, "greedy"}});
    return ResultOf(refused) == "caller_limit";
  }));
  EXPECT_EQ(refused.response.status, 429);
  EXPECT_EQ(OutcomeOfAnswer(refused), "not-run");
  for (int n = 0; n < 20; ++n) {
    const http::HttpResult other =
        Send(cluster.Router(0), "GET", kPath, {}, {{http::kCallerHeader, "other"}});
    EXPECT_EQ(other.response.status, 200);
  }
}

// Guards against the outcome "not run" for a request that a target has run, and against sending
// requests whose timeout is shorter than the latency of any answer.
TEST(RouterAdmissionTest, RequestThatCannotMeetItsDeadlineIsNotRun) {
  ClusterOptions options;
  options.net = 198;
  options.service_ms = 300;
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  int n = 0;
  std::string id;
  ASSERT_TRUE(WaitUntil([&cluster, &n, &id] {
    Send(cluster.Router(0), "GET", kPath);
    id = "short-" + std::to_string(n++);
    const http::HttpResult result = Send(cluster.Router(0), "GET", kPath, {},
                                         {{http::kTimeoutHeader, "20"}, {"X-Request-Id", id}});
    return ResultOf(result) == "deadline_too_short" && OutcomeOfAnswer(result) == "not-run";
  }));
  EXPECT_EQ(RunsOf(cluster, id), 0);
}

// Guards against new requests to targets that have announced that they leave while the host list,
// which the router polls every 200 ms, still shows them as live.
TEST(RouterAdmissionTest, AnnouncedLeavingOutlastsTheHostList) {
  ClusterOptions options;
  options.net = 199;
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  ASSERT_TRUE(SetFault(cluster.Targets().front(), {{"leaving", true}}));
  ASSERT_TRUE(WaitUntil([&cluster] {
    Send(cluster.Router(0), "GET", kPath, {}, {{http::kTimeoutHeader, "500"}});
    return Send(cluster.Router(0), "GET", "/readyz").response.status == 503;
  }));
  for (int n = 0; n < 10; ++n) {
    const std::string id = "late-" + std::to_string(n);
    const http::HttpResult result = Send(cluster.Router(0), "GET", kPath, {},
                                         {{http::kTimeoutHeader, "300"}, {"X-Request-Id", id}});
    EXPECT_EQ(ResultOf(result), "deadline_too_short");
    EXPECT_EQ(RunsOf(cluster, id), 0);
  }
}

}  // namespace
}  // namespace pomelopond::support
