// Fake of the platform's host list service.
//
// GET /v1/hosts returns the list and PUT /v1/hosts replaces it. POST /v1/hosts/state changes the
// state of one host. POST /fault sets a lag, after which a new list becomes visible, and an outage.
#include <deque>
#include <mutex>

#include "fakes/common/fake_program.h"
#include "http/http_server.h"
#include "http/thread_pool.h"
#include "membership/host_list.h"

namespace pomelopond::fakes {
namespace {

constexpr int64_t kMaxBodyBytes = 16 << 20;
constexpr int64_t kMaxLagMs = 3600000;
constexpr int kThreads = 2;

// One version of the host list.
struct PublishedList {
  TimePoint publish_time;  // when the list was set
  membership::HostList list;
};

struct FakeHostList {
  std::mutex mutex;                    // guards all members below
  std::deque<PublishedList> versions;  // in ascending order of version
  Duration lag{};                      // age from which a list is visible to readers
  bool outage = false;                 // GET /v1/hosts is answered with status 503
};

// Returns the newest list that is at least `lag` old. The first list is visible at once.
membership::HostList VisibleList(const FakeHostList& fake, TimePoint now) {
  membership::HostList visible;
  for (const PublishedList& it : fake.versions) {
    if (visible.version == 0 || it.publish_time + fake.lag <= now) visible = it.list;
  }
  return visible;
}

http::HttpResponse SetHosts(FakeHostList* fake, const std::string& body) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "not JSON");
  FieldErrors errors;
  membership::HostList list = membership::ReadHostList(document.value, &errors);
  if (!errors.empty()) return http::ErrorResponse(ResultCode::kBadField, ToString(errors));
  const std::lock_guard<std::mutex> lock(fake->mutex);
  list.version = fake->versions.empty() ? 1 : fake->versions.back().list.version + 1;
  fake->versions.push_back({Now(), list});
  return http::JsonResponse(200, {{"version", list.version}});
}

// Changes the state of one host. The body has the form {"host": ID, "state": "leaving"}; an unknown
// state counts as "gone".
http::HttpResponse SetHostState(FakeHostList* fake, const std::string& body) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "not JSON");
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  const std::string id = reader.String("host");
  const std::string state = reader.String("state");
  reader.Finish();
  const std::lock_guard<std::mutex> lock(fake->mutex);
  if (!errors.empty() || fake->versions.empty()) {
    return http::ErrorResponse(ResultCode::kBadField, ToString(errors));
  }
  membership::HostList list = fake->versions.back().list;
  const auto it = list.hosts.find(id);
  if (it == list.hosts.end()) return http::ErrorResponse(ResultCode::kNotFound, id);
  it->second.state = state == "live"      ? membership::HostState::kLive
                     : state == "leaving" ? membership::HostState::kLeaving
                                          : membership::HostState::kGone;
  list.version += 1;
  fake->versions.push_back({Now(), list});
  return http::JsonResponse(200, {{"version", list.version}});
}

http::HttpResponse SetFaults(FakeHostList* fake, const std::string& body) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "not JSON");
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  const int64_t lag_ms = reader.IntOr("lag_ms", 0, kMaxLagMs, 0);
  const bool outage = reader.BoolOr("outage", false);
  reader.Finish();
  if (!errors.empty()) return http::ErrorResponse(ResultCode::kBadField, ToString(errors));
  const std::lock_guard<std::mutex> lock(fake->mutex);
  fake->lag = std::chrono::milliseconds(lag_ms);
  fake->outage = outage;
  return http::JsonResponse(200, Json::object());
}

http::HttpResponse HandleRequest(FakeHostList* fake, const http::HttpRequest& request) {
  const std::string path = http::PathOf(request);
  if (path == "/fault") return SetFaults(fake, request.body);
  if (path == "/v1/hosts/state") return SetHostState(fake, request.body);
  if (path != "/v1/hosts") return http::ErrorResponse(ResultCode::kNotFound, path);
  if (request.method == "PUT") return SetHosts(fake, request.body);
  const std::lock_guard<std::mutex> lock(fake->mutex);
  if (fake->outage) return http::JsonResponse(503, {{"error", "outage"}});
  return http::JsonResponse(200, membership::ToJson(VisibleList(*fake, Now())));
}

int Main(int argc, char** argv) {
  InstallSignals();
  cxxopts::Options options("fake-hostlist", "Fake of the platform's host list service");
  options.add_options()("listen", "address and port to listen on", cxxopts::value<std::string>())(
      "hosts", "JSON file with the initial host list", cxxopts::value<std::string>());
  const auto args = ParseArguments(&options, argc, argv);
  if (!args || args->count("listen") == 0) return kExitUsage;
  const Result<Endpoint> endpoint = ParseEndpoint((*args)["listen"].as<std::string>());
  if (!endpoint.ok()) return kExitUsage;
  http::InitThreadPool(kThreads);
  FakeHostList fake;
  if (args->count("hosts") != 0) {
    const Result<std::string> text = ReadFile((*args)["hosts"].as<std::string>());
    const http::HttpResponse response = SetHosts(&fake, text.value);
    if (response.status != 200) {
      std::cerr << "fake-hostlist: " << response.body << "\n";
      return kExitUsage;
    }
  }
  http::HttpServer server(endpoint.value, kMaxBodyBytes,
                          [&fake](const http::HttpRequest& request, const http::Reply& reply) {
                            reply(HandleRequest(&fake, request));
                          });
  if (server.Start()) return kExitFailure;
  ServeUntilStopped();
  server.Stop(std::chrono::seconds(1));
  return kExitOk;
}

}  // namespace
}  // namespace pomelopond::fakes

int main(int argc, char** argv) { return pomelopond::fakes::Main(argc, argv); }
