// Runs an owner of a pool over KvStore while its connections to the store go silent for good.
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "entry/keys.h"
#include "entry/pool_owner.h"
#include "entry/term.h"
#include "http/http_server.h"
#include "platform/base64.h"
#include "platform/kv_store.h"
#include "tests/entry/memory_store.h"
#include "tests/entry/owner_support.h"
#include "tests/platform/silencing_relay.h"

namespace pomelopond::platform {
namespace {

constexpr int64_t kMaxBodyBytes = 1 << 20;
constexpr Duration kStopTimeout = std::chrono::seconds(20);
// A call that takes longer does not end by a time-out of its own.
constexpr std::chrono::seconds kCallLimit{10};
// The longest time that a watch of this store waits before it answers.
constexpr Duration kLongestWatch = std::chrono::milliseconds(100);
// Idle connections of the owner when the silence begins, so that calls of each kind meet one.
constexpr int kIdleConnections = 4;
// Renewals and commits that show that the owner goes on for longer than a single call.
constexpr int kFurtherCalls = 3;

Json JsonOf(const store::Item& item) {
  return {{"key", item.key},
          {"rev", item.revision},
          {"created", item.create_revision},
          {"value", ToBase64(item.value)}};
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// Answers like the platform's store from the items of a MemoryStore. Leases do not expire.
class StoreServer {
 public:
  explicit StoreServer(const Endpoint& endpoint)
      : server_(endpoint, kMaxBodyBytes,
                [this](const http::HttpRequest& request, const http::Reply& reply) {
                  Handle(request, reply);
                }) {}

  std::error_code Start() { return server_.Start(); }
  void Stop() { server_.Stop(kStopTimeout); }

  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard<std::recursive_mutex> lock(memory_.mutex);
    memory_.Apply({{}, {{key, value, 0}}, {}});
  }

  entry::Term term() {
    const std::lock_guard<std::recursive_mutex> lock(memory_.mutex);
    return entry::DecodeTerm(memory_.items[entry::kTermKey].value).value;
  }

  int renewals() const { return renewals_.load(); }
  int watches() const { return watches_.load(); }

 private:
  void Handle(const http::HttpRequest& request, const http::Reply& reply) {
    const std::string path = http::PathOf(request);
    if (path != "/api/kv-watch") return reply(AnswerTo(path, request));
    watches_ += 1;
    const std::string prefix = http::QueryParameterOf(request, "prefix");
    const int64_t after = std::stoll(http::QueryParameterOf(request, "after"));
    http::RunAfter(kLongestWatch, [this, prefix, after, reply] { reply(ItemsOf(prefix, after)); });
  }

  http::HttpResponse AnswerTo(const std::string& path, const http::HttpRequest& request) {
    if (path == "/api/kv-key") return ItemOf(http::QueryParameterOf(request, "key"));
    if (path == "/api/kv-range") return ItemsOf(http::QueryParameterOf(request, "prefix"), 0);
    if (path == "/api/kv-txn") return Commit(Json::parse(request.body));
    if (StartsWith(path, "/api/kv-keep/")) renewals_ += 1;
    return http::JsonResponse(200, {{"lease", 1}, {"ttl_ms", 2000}});
  }

  http::HttpResponse ItemOf(const std::string& key) {
    const std::lock_guard<std::recursive_mutex> lock(memory_.mutex);
    const auto it = memory_.items.find(key);
    if (it == memory_.items.end()) return http::JsonResponse(404, Json::object());
    return http::JsonResponse(200, JsonOf(it->second));
  }

  // The items below the prefix that were changed after the revision, as a page and as events.
  http::HttpResponse ItemsOf(const std::string& prefix, int64_t after) {
    const std::lock_guard<std::recursive_mutex> lock(memory_.mutex);
    Json items = Json::array();
    for (const auto& [key, it] : memory_.items) {
      if (StartsWith(key, prefix) && it.revision > after) items.push_back(JsonOf(it));
    }
    return http::JsonResponse(
        200, {{"items", items}, {"events", items}, {"current_rev", memory_.revision}});
  }

  http::HttpResponse Commit(const Json& body) {
    store::Transaction transaction;
    for (const Json& it : body.at("if_rev")) {
      transaction.conditions.push_back({it.at("key"), it.at("rev")});
    }
    for (const Json& it : body.at("writes")) {
      transaction.writes.push_back({it.at("key"), FromBase64(it.at("value")).value, 0});
    }
    for (const Json& it : body.at("remove")) transaction.deletes.push_back(it);
    const std::lock_guard<std::recursive_mutex> lock(memory_.mutex);
    const store::CommitResult result = memory_.Apply(transaction);
    if (result.committed) return http::JsonResponse(200, {{"rev", result.revision}});
    Json items = Json::array();
    for (const store::Item& it : result.existing) items.push_back(JsonOf(it));
    return http::JsonResponse(412, {{"items", std::move(items)}});
  }

  entry::MemoryStore memory_;
  std::atomic<int> renewals_{0};
  std::atomic<int> watches_{0};
  http::HttpServer server_;
};

using Done = std::function<void(std::error_code)>;
using StoreCall = std::function<void(KvStore*, const Done&)>;

template <class T>
store::StoreCallback<T> ErrorTo(const Done& done) {
  return [done](const Result<T>& it) { done(it.ec); };
}

// The calls of KvStore, each with short times of its own where it takes any.
const std::map<std::string, StoreCall> kCalls = {
    {"get", [](KvStore* it, const Done& done) { it->Get("k", ErrorTo<store::Item>(done)); }},
    {"list", [](KvStore* it, const Done& done) { it->List("k", "", ErrorTo<store::Page>(done)); }},
    {"watch",
     [](KvStore* it, const Done& done) {
       it->Watch("k", 1, Duration::zero(), ErrorTo<store::Changes>(done));
     }},
    {"commit",
     [](KvStore* it, const Done& done) {
       it->Commit({}, std::chrono::seconds(1), ErrorTo<store::CommitResult>(done));
     }},
    {"grant",
     [](KvStore* it, const Done& done) {
       it->GrantLease(std::chrono::seconds(2), ErrorTo<store::Lease>(done));
     }},
    {"renew",
     [](KvStore* it, const Done& done) { it->RenewLease(1, ErrorTo<store::Lease>(done)); }},
    {"end", [](KvStore* it, const Done& done) { it->EndLease(1, ErrorTo<store::Lease>(done)); }},
};

// Makes the call and returns a future of its error.
std::future<std::error_code> Make(KvStore* store, const StoreCall& call) {
  const auto promise = std::make_shared<std::promise<std::error_code>>();
  call(store, [promise](std::error_code ec) { promise->set_value(ec); });
  return promise->get_future();
}

std::error_code ErrorOf(std::future<std::error_code>* result) {
  const bool ready = result->wait_for(kCallLimit) == std::future_status::ready;
  return ready ? result->get() : ResultCode::kTimeout;
}

// Guards against a call on a silent connection that never ends, and against one that leaves the
// silent connection to the next call.
TEST(SilentStoreTest, EachCallEndsAndTheNextOneUsesANewConnection) {
  const Endpoint direct{"127.77.4.3", 7600};
  const Endpoint relayed{"127.77.4.4", 7600};
  StoreServer server(direct);
  ASSERT_FALSE(server.Start());
  SilencingRelay relay(relayed, direct);
  metrics::Registry metrics;
  std::map<std::string, std::unique_ptr<KvStore>> stores;
  for (const auto& [kind, call] : kCalls) {
    stores[kind] = std::make_unique<KvStore>(relayed, &metrics);
    auto first = Make(stores[kind].get(), kCalls.at("get"));
    ASSERT_FALSE(ErrorOf(&first)) << kind;
  }
  relay.Silence();
  ASSERT_TRUE(entry::WaitFor([&] { return relay.silenced() > 0; }));
  ASSERT_EQ(relay.silenced(), static_cast<int>(kCalls.size()));
  std::map<std::string, std::future<std::error_code>> results;
  for (const auto& [kind, call] : kCalls) results[kind] = Make(stores[kind].get(), call);
  for (auto& [kind, result] : results) {
    EXPECT_EQ(ErrorOf(&result), ResultCode::kStoreAnswerLost) << kind;
    auto next = Make(stores[kind].get(), kCalls.at(kind));
    EXPECT_FALSE(ErrorOf(&next)) << kind;
  }
  EXPECT_TRUE(entry::WaitFor([&] { return relay.open_silent() == 0; }));
  server.Stop();
}

// Guards against an owner that waits for good for answers on silent connections, or uses them
// again: it would renew and commit no more and see neither new workers nor new jobs.
TEST(SilentStoreTest, OwnerGoesOnOverNewConnections) {
  const Endpoint direct{"127.77.4.1", 7600};
  const Endpoint relayed{"127.77.4.2", 7600};
  StoreServer server(direct);
  ASSERT_FALSE(server.Start());
  SilencingRelay relay(relayed, direct);
  metrics::Registry metrics;
  KvStore store(relayed, &metrics);
  entry::StoppableTimer timer;
  entry::StartingWorkers workers;
  entry::PoolOwner owner(entry::OptionsOf("host-1"), &store, &workers, timer.Get(), &metrics);
  owner.Start();
  ASSERT_TRUE(entry::WaitFor([&] {
    return server.renewals() >= 1 && server.term().last_commit >= 1 && server.watches() >= 10;
  }));
  std::vector<std::future<std::error_code>> reads;
  for (int n = 0; n < kIdleConnections; ++n) reads.push_back(Make(&store, kCalls.at("get")));
  for (auto& it : reads) ASSERT_FALSE(ErrorOf(&it));

  relay.Silence();
  ASSERT_TRUE(entry::WaitFor([&] { return relay.silenced() > 0; }));
  const int renewals = server.renewals();
  const int64_t commits = server.term().last_commit;
  server.Put("workers/w1", "");
  server.Put(entry::JobKey("j1"), Encode(entry::OneTask("j1")));

  EXPECT_TRUE(entry::WaitFor([&] { return server.renewals() >= renewals + kFurtherCalls; }));
  EXPECT_TRUE(entry::WaitFor([&] { return server.term().last_commit >= commits + kFurtherCalls; }));
  EXPECT_TRUE(entry::WaitFor([&] { return workers.starts.load() > 0; }));
  EXPECT_TRUE(entry::WaitFor([&] { return relay.open_silent() == 0; }));
  EXPECT_TRUE(owner.IsOwner());
  EXPECT_EQ(server.term().epoch, 1);
  owner.Stop();
  timer.Stop();
  server.Stop();
}

}  // namespace
}  // namespace pomelopond::platform
