// Stand-in for the platform's host list: GET /v1/hosts, PUT /v1/hosts, with a lag.
#include <deque>
#include <mutex>

#include "fakes/common/fake_program.h"
#include "http/http_server.h"
#include "membership/host_list.h"

namespace pomelopond::fakes {
namespace {

constexpr int64_t kMaxBodyBytes = 16 << 20;
constexpr int64_t kMaxLagMs = 3600000;
constexpr int kThreads = 2;

struct PublishedList {
  TimePoint publish_time;
  membership::HostList list;
};

struct FakeHostList {
  std::mutex mutex;  // guards all members below
  std::deque<PublishedList> versions;
  Duration lag{};
  bool outage = false;
};

// The newest list that is at least `lag` old; the first one is shown at once.
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

// Changes the state of one host: {"host": ID, "state": "leaving"}.
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
  cxxopts::Options options("fake-hostlist", "Stand-in for the platform's host list");
  options.add_options()("listen", "address and port", cxxopts::value<std::string>())(
      "hosts", "file with the first list (JSON)", cxxopts::value<std::string>());
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
