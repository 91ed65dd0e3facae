#include "platform/caller_api.h"

#include <gtest/gtest.h>

#include <set>

#include "tests/entry/memory_store.h"

namespace pomelopond::platform {
namespace {

constexpr Duration kLongAgo = std::chrono::seconds(3);

class CallerApiTest : public ::testing::Test {
 protected:
  CallerApiTest()
      : jobs(
            {}, &store, [](Duration, const std::function<void()>&) {}, &metrics, &health,
            &revisions),
        api(&jobs, [this] { return view; }) {
    jobs::Catalog catalog;
    jobs::Queue queue;
    queue.host = "a.example";
    queue.prefix = "/known/";
    queue.rules.queue = "known";
    catalog.queues.push_back(queue);
    view.catalog = std::make_shared<const jobs::Catalog>(catalog);
    view.confirmed_at = Now();
  }

  http::HttpResponse Get(const std::string& path) { return Ask("GET", path); }

  http::HttpResponse Ask(const std::string& method, const std::string& path,
                         const std::string& body = {}) {
    http::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers["Host"] = "a.example";
    http::HttpResponse response;
    api.Handle(request, [&response](const http::HttpResponse& it) { response = it; });
    return response;
  }

  entry::MemoryStore store;
  metrics::Registry metrics;
  entry::StoreHealth health;
  entry::RevisionHistory revisions;
  entry::JobService jobs;
  entry::CatalogView view;
  CallerApi api;
};

TEST_F(CallerApiTest, QueueThatTheNewestCatalogLacksDoesNotExist) {
  EXPECT_EQ(Get("/unknown/").status, 404);
}

// Guards against a denial of a queue that was added while this host could not read the catalog.
TEST_F(CallerApiTest, OutdatedCatalogDoesNotDenyAQueue) {
  view.confirmed_at = Now() - kLongAgo;
  const http::HttpResponse response = Get("/unknown/");
  EXPECT_EQ(response.status, 503);
  EXPECT_EQ(response.headers.count("Retry-After"), 1U);
}

// Guards against callers that a store outage sends away and that all come back at the same time.
TEST_F(CallerApiTest, RetriesOfRefusedJobsAreSpread) {
  store.unavailable = true;
  std::set<std::string> retry_after;
  for (int n = 10; n < 40; ++n) {
    const http::HttpResponse refused = Get("/known/00000000000000" + std::to_string(n));
    if (refused.status == 503) retry_after.insert(refused.headers.at("Retry-After"));
  }
  EXPECT_EQ(retry_after, (std::set<std::string>{"1", "2"}));
}

// Guards against requests for known queues that are refused while only the catalog cannot be read.
TEST_F(CallerApiTest, OutdatedCatalogServesItsQueues) {
  view.confirmed_at = Now() - kLongAgo;
  EXPECT_EQ(Get("/known/00000000000000aa").status, 410);
}

// Guards against a job that is accepted after a caller was told that its cancellation is done.
TEST_F(CallerApiTest, JobThatWasCancelledBeforeItArrivedIsRefused) {
  const std::string path = "/known/00000000000000aa";
  EXPECT_EQ(Ask("DELETE", path).status, 410);
  const http::HttpResponse refused = Ask("POST", path, R"({"steps":[{"replicas":1}]})");
  EXPECT_EQ(refused.status, 409);
  EXPECT_NE(refused.body.find("cancelled"), std::string::npos);
  EXPECT_EQ(Get(path).status, 410);
}

// Guards against a job that is accepted although its record can never be stored.
TEST_F(CallerApiTest, JobThatTheStoreCannotHoldIsRefused) {
  view.catalog = [this] {
    jobs::Catalog catalog = *view.catalog;
    catalog.queues[0].rules.max_attempts = 1000000;
    return std::make_shared<const jobs::Catalog>(catalog);
  }();
  const std::string path = "/known/00000000000000aa";
  EXPECT_EQ(Ask("POST", path, R"({"steps":[{"replicas":1}]})").status, 413);
  EXPECT_TRUE(store.items.empty());
}

}  // namespace
}  // namespace pomelopond::platform
