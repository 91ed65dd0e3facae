// Checks the requests that KvStore sends, with a server that answers like the platform's store.
#include "platform/kv_store.h"

#include <gtest/gtest.h>

#include <future>
#include <mutex>
#include <set>

#include "http/http_server.h"

namespace pomelopond::platform {
namespace {

constexpr int64_t kMaxBodyBytes = 1 << 20;
constexpr size_t kPageItems = 2;
constexpr int kMaxPages = 10;
constexpr std::chrono::seconds kTimeout{20};
constexpr const char* kPrefix = "servers/";

// Returns an address for each test of the suite, as tests run in parallel.
Endpoint EndpointOfThisTest() {
  const ::testing::UnitTest* unit = ::testing::UnitTest::GetInstance();
  const ::testing::TestSuite* suite = unit->current_test_suite();
  int n = 0;
  while (suite->GetTestInfo(n) != unit->current_test_info()) ++n;
  return {"127.77.2." + std::to_string(n + 1), 7600};
}

// Lists `keys` in pages of kPageItems, and reads single keys.
class KvStoreTest : public ::testing::Test {
 protected:
  KvStoreTest()
      : server(endpoint, kMaxBodyBytes,
               [this](const http::HttpRequest& request, const http::Reply& reply) {
                 reply(AnswerTo(request));
               }) {}

  void SetUp() override { ASSERT_FALSE(server.Start()); }
  void TearDown() override { server.Stop(kTimeout); }

  http::HttpResponse AnswerTo(const http::HttpRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex);
    const std::string path = http::PathOf(request);
    if (path == "/api/kv-key") {
      const std::string key = http::QueryParameterOf(request, "key");
      stale_ok = http::QueryParameterOf(request, "stale_ok");
      if (keys.count(key) == 0) return http::JsonResponse(404, Json::object());
      return http::JsonResponse(200, {{"key", key}, {"rev", 1}, {"value", ""}});
    }
    if (path == "/api/kv-txn") return http::JsonResponse(commit_status, Json::object());
    if (path == "/api/kv-lease") {
      http::HttpResponse response = http::JsonResponse(200, Json::object());
      response.body = lease_answer;
      return response;
    }
    const std::string prefix = http::QueryParameterOf(request, "prefix");
    if (path == "/api/kv-watch") {
      return http::JsonResponse(200,
                                {{"events", Json::array({{{"key", prefix}}})}, {"current_rev", 1}});
    }
    const std::string after = http::QueryParameterOf(request, "after");
    Json items = Json::array();
    bool has_more = false;
    for (const std::string& it : keys) {
      if (it.compare(0, prefix.size(), prefix) != 0 || it <= after) continue;
      has_more = items.size() == kPageItems;
      if (has_more) break;
      items.push_back({{"key", it}, {"rev", 1}, {"value", ""}});
    }
    return http::JsonResponse(
        200, {{"items", std::move(items)}, {"has_more", has_more}, {"current_rev", 1}});
  }

  template <class T, class F>
  static Result<T> Wait(F call) {
    const auto promise = std::make_shared<std::promise<Result<T>>>();
    std::future<Result<T>> future = promise->get_future();
    call([promise](Result<T> it) { promise->set_value(std::move(it)); });
    if (future.wait_for(kTimeout) != std::future_status::ready) return {ResultCode::kTimeout, {}};
    return future.get();
  }

  // Reads all pages, or the first kMaxPages.
  std::vector<std::string> ListAll(const std::string& prefix) {
    std::vector<std::string> out;
    std::string after;
    for (int n = 0; n < kMaxPages; ++n) {
      const Result<store::Page> page =
          Wait<store::Page>([&](auto done) { store.List(prefix, after, std::move(done)); });
      EXPECT_TRUE(page.ok()) << "after \"" << after << "\": " << page.ec.message();
      if (!page.ok()) return out;
      for (const store::Item& it : page.value.items) out.push_back(it.key);
      if (!page.value.has_more) return out;
      after = out.back();
    }
    ADD_FAILURE() << "pages without end after \"" << after << '"';
    return out;
  }

  const std::vector<std::string> odd_keys = {
      "servers/b c", "servers/b&prefix=x", "servers/b#c",  "servers/b%41", "servers/b%",
      "servers/b+c", "servers/b?c=d",      "servers/b\nc", "servers/b\"<", "servers/b\xc3\xa9"};

  const Endpoint endpoint = EndpointOfThisTest();
  std::mutex mutex;  // guards keys, stale_ok, lease_answer and commit_status
  std::set<std::string> keys;
  std::string stale_ok;  // of the last read of a key
  std::string lease_answer;
  int commit_status = 200;
  metrics::Registry metrics;
  KvStore store{endpoint, &metrics};
  http::HttpServer server;
};

// Guards against an odd key at the end of a page that makes the next page fail or begin anew, so
// that the list is read again without end.
TEST_F(KvStoreTest, ListContinuesAfterAnOddKey) {
  for (const std::string& odd : odd_keys) {
    const std::vector<std::string> expected = {odd, odd + "2", "servers/x", "servers/y"};
    {
      const std::lock_guard<std::mutex> lock(mutex);
      keys = {expected.begin(), expected.end()};
      keys.insert("other/z");
    }
    EXPECT_EQ(ListAll(kPrefix), expected);
  }
}

// Guards against a stale read that costs the store as much as another one, and against an ordinary
// read that may be old.
TEST_F(KvStoreTest, OnlyStaleReadsMayBeOld) {
  keys = {"servers/b"};
  const auto stale =
      Wait<store::Item>([&](auto done) { store.GetStale("servers/b", std::move(done)); });
  EXPECT_EQ(stale.value.revision, 1);
  EXPECT_EQ(stale_ok, "1");
  Wait<store::Item>([&](auto done) { store.Get("servers/b", std::move(done)); });
  EXPECT_EQ(stale_ok, "");
}

// Guards against an odd key or prefix that reads something else or nothing.
TEST_F(KvStoreTest, OddKeysAndPrefixesAreReadAsTheyAre) {
  for (const std::string& odd : odd_keys) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      keys = {"servers/b", odd};
    }
    const auto item = Wait<store::Item>([&](auto done) { store.Get(odd, std::move(done)); });
    EXPECT_TRUE(item.ok()) << odd;
    EXPECT_EQ(item.value.key, odd);
    EXPECT_EQ(item.value.revision, 1) << odd;
    EXPECT_EQ(ListAll(odd), std::vector<std::string>{odd});
    const auto changes = Wait<store::Changes>(
        [&](auto done) { store.Watch(odd, 1, Duration::zero(), std::move(done)); });
    ASSERT_TRUE(changes.ok()) << odd;
    EXPECT_EQ(changes.value.changes.at(0).item.key, odd);
  }
}

// Guards against a lease whose time wraps or overflows, so that it seems to have ended or never to
// end.
TEST_F(KvStoreTest, LeasesOutOfRangeAreRefused) {
  const auto grant = [&](const std::string& answer) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      lease_answer = answer;
    }
    return Wait<store::Lease>(
        [&](auto done) { store.GrantLease(std::chrono::seconds(5), std::move(done)); });
  };
  const Result<store::Lease> granted = grant(R"({"lease":7,"ttl_ms":5000})");
  ASSERT_TRUE(granted.ok());
  EXPECT_EQ(granted.value.id, 7);
  EXPECT_EQ(granted.value.ttl, Duration(std::chrono::seconds(5)));
  for (const char* odd : {"1e300", "-1", "18446744073709551615", "\"5\"", "null"}) {
    EXPECT_EQ(grant(std::string(R"({"lease":7,"ttl_ms":)") + odd + "}").ec,
              ResultCode::kStoreBadAnswer)
        << odd;
    EXPECT_EQ(grant(std::string(R"({"ttl_ms":5000,"lease":)") + odd + "}").ec,
              ResultCode::kStoreBadAnswer)
        << odd;
  }
  EXPECT_EQ(grant(R"({"lease":7,"ttl_ms":9223372036854775807})").ec, ResultCode::kStoreBadAnswer);
  EXPECT_EQ(grant("[]").ec, ResultCode::kStoreBadAnswer);
}

// Guards against a commit that the store will never accept but that is sent again for ever.
TEST_F(KvStoreTest, CommitsThatTheStoreNeverAcceptsAreToldApart) {
  const std::map<int, ResultCode> codes = {
      {400, ResultCode::kStoreRejected},    {403, ResultCode::kStoreRejected},
      {413, ResultCode::kStoreRejected},    {404, ResultCode::kNotFound},
      {429, ResultCode::kStoreUnavailable}, {503, ResultCode::kStoreUnavailable},
      {500, ResultCode::kStoreBadAnswer}};
  for (const auto& [status, code] : codes) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      commit_status = status;
    }
    const auto answer =
        Wait<store::CommitResult>([&](auto done) { store.Commit({}, kTimeout, std::move(done)); });
    EXPECT_EQ(answer.ec, std::error_code(code)) << status;
  }
}

}  // namespace
}  // namespace pomelopond::platform
