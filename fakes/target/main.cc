// Stand-in for service executors: several targets in one process, one address each.
//
// POST /run answers after the service time and counts each request by its X-Request-Id header.
// GET /counts gives how often each id was run. POST /fault sets faults of all targets of the
// process: {"service_ms", "lose_answers", "refuse", "leaving"}.
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "fakes/common/fake_program.h"
#include "http/http_client.h"
#include "http/http_server.h"

namespace pomelopond::fakes {
namespace {

constexpr int64_t kMaxBodyBytes = 8 << 20;
constexpr int64_t kMaxServiceMs = 600000;
constexpr int64_t kMaxCount = 1000000000;
constexpr int kThreads = 4;

struct TargetFaults {
  Duration service_time{};
  int64_t lose_answers = 0;  // that many next requests are run and answered only after 1 hour
  bool refuse = false;       // answer 503 without running
  bool leaving = false;      // say so in every answer
};

struct FakeTarget {
  std::mutex mutex;  // guards all members below
  TargetFaults faults;
  std::map<std::string, int64_t> runs;      // by X-Request-Id
  std::map<std::string, int64_t> running;   // by target
  std::map<std::string, int64_t> max_seen;  // most requests at once, by target
};

http::HttpResponse SetFaults(FakeTarget* fake, const std::string& body) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "not JSON");
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  TargetFaults faults;
  faults.service_time = std::chrono::milliseconds(reader.IntOr("service_ms", 0, kMaxServiceMs, 0));
  faults.lose_answers = reader.IntOr("lose_answers", 0, kMaxCount, 0);
  faults.refuse = reader.BoolOr("refuse", false);
  faults.leaving = reader.BoolOr("leaving", false);
  reader.Finish();
  if (!errors.empty()) return http::ErrorResponse(ResultCode::kBadField, ToString(errors));
  const std::lock_guard<std::mutex> lock(fake->mutex);
  fake->faults = faults;
  return http::JsonResponse(200, Json::object());
}

http::HttpResponse Counts(FakeTarget* fake) {
  const std::lock_guard<std::mutex> lock(fake->mutex);
  return http::JsonResponse(200, {{"runs", fake->runs}, {"max_running", fake->max_seen}});
}

void Run(FakeTarget* fake, const std::string& target, const http::HttpRequest& request,
         const http::Reply& reply) {
  Duration delay;
  bool lose = false;
  bool leaving = false;
  {
    const std::lock_guard<std::mutex> lock(fake->mutex);
    leaving = fake->faults.leaving;
    if (fake->faults.refuse) return reply(http::JsonResponse(503, {{"error", "refused"}}));
    fake->runs[http::HeaderOf(request.headers, "X-Request-Id")] += 1;
    int64_t& running = fake->running[target];
    running += 1;
    fake->max_seen[target] = std::max(fake->max_seen[target], running);
    delay = fake->faults.service_time;
    lose = fake->faults.lose_answers > 0;
    if (lose) fake->faults.lose_answers -= 1;
  }
  http::HttpResponse response =
      http::JsonResponse(200, {{"target", target},
                               {"request_id", http::HeaderOf(request.headers, "X-Request-Id")},
                               {"echo_bytes", request.body.size()}});
  if (leaving) response.headers[http::kLeavingHeader] = "1";
  if (lose) delay = std::chrono::hours(1);
  const auto finish = [fake, target, reply, response] {
    {
      const std::lock_guard<std::mutex> lock(fake->mutex);
      fake->running[target] -= 1;
    }
    reply(response);
  };
  if (delay == Duration::zero()) return finish();
  http::RunAfter(delay, finish);
}

void Serve(FakeTarget* fake, const std::string& target, const http::HttpRequest& request,
           const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/fault") return reply(SetFaults(fake, request.body));
  if (path == "/counts") return reply(Counts(fake));
  Run(fake, target, request, reply);
}

int Main(int argc, char** argv) {
  InstallStopSignal();
  cxxopts::Options options("fake-target", "Stand-in for service executors");
  options.add_options()("listen", "addresses and ports",
                        cxxopts::value<std::vector<std::string>>())(
      "service-ms", "service time", cxxopts::value<int64_t>()->default_value("0"));
  const auto args = ParseArguments(&options, argc, argv);
  if (!args || args->count("listen") == 0) return kExitUsage;
  http::InitThreads(kThreads);
  FakeTarget fake;
  fake.faults.service_time = std::chrono::milliseconds((*args)["service-ms"].as<int64_t>());
  std::vector<std::unique_ptr<http::HttpServer>> servers;
  for (const std::string& it : (*args)["listen"].as<std::vector<std::string>>()) {
    const Result<Endpoint> endpoint = ParseEndpoint(it);
    if (!endpoint.ok()) return kExitUsage;
    servers.push_back(std::make_unique<http::HttpServer>(
        endpoint.value, kMaxBodyBytes,
        [&fake, it](const http::HttpRequest& request, const http::Reply& reply) {
          Serve(&fake, it, request, reply);
        }));
    if (servers.back()->Start()) return kExitFailure;
  }
  ServeUntilStopped();
  for (const auto& it : servers) it->Stop(Duration::zero());
  return kExitOk;
}

}  // namespace
}  // namespace pomelopond::fakes

int main(int argc, char** argv) { return pomelopond::fakes::Main(argc, argv); }
