// Fake of the platform's key-value store: an in-memory etcd v3 JSON gateway with fault injection.
//
// POST /fault replaces the faults; see StoreFaults. GET /statistics returns the numbers of calls.
#include <map>
#include <mutex>
#include <vector>

#include "fakes/common/fake_program.h"
#include "fakes/store/key_space.h"
#include "fakes/store/store_faults.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "http/thread_pool.h"

namespace pomelopond::fakes {
namespace {

constexpr int64_t kMaxBodyBytes = 8 << 20;
constexpr int kThreads = 4;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpBadRequest = 400;

using KeySpaceCall = Result<Json> (KeySpace::*)(const Json&, TimePoint);

struct Operation {
  KeySpaceCall call;
  bool write;  // counts as a write in rate limits, faults and statistics
};

const std::map<std::string, Operation>& Operations() {
  static const std::map<std::string, Operation> operations = {
      {"/v3/kv/range", {&KeySpace::Range, false}},
      {"/v3/kv/txn", {&KeySpace::Txn, true}},
      {"/v3/lease/grant", {&KeySpace::GrantLease, true}},
      {"/v3/lease/keepalive", {&KeySpace::KeepAlive, true}},
      {"/v3/lease/revoke", {&KeySpace::Revoke, true}}};
  return operations;
}

struct FakeStore {
  std::mutex mutex;  // guards all members below
  KeySpace keys;
  StoreFaults faults;
  RateWindow write_rate;
  RateWindow read_rate;
  int64_t write_calls = 0;              // including those above the rate limit
  int64_t read_calls = 0;               // including those above the rate limit
  int64_t refused_calls = 0;            // calls above the rate limit
  std::vector<http::Reply> unanswered;  // answered with an error when faults without a hang are set
};

// Returns an error answer in the form of the gateway.
http::HttpResponse GatewayError(int status, const std::string& text) {
  return http::JsonResponse(status, {{"error", text}, {"code", 14}});
}

void Run(FakeStore* fake, const Operation& operation, const std::string& body,
         const http::Reply& reply) {
  const Result<Json> request = ParseJson(body);
  if (!request.ok() || !request.value.is_object()) {
    return reply(GatewayError(kHttpBadRequest, "bad request"));
  }
  const TimePoint now = Now();
  const std::lock_guard<std::mutex> lock(fake->mutex);
  (operation.write ? fake->write_calls : fake->read_calls) += 1;
  const bool admitted = operation.write
                            ? Admit(&fake->write_rate, fake->faults.writes_per_second, now)
                            : Admit(&fake->read_rate, fake->faults.reads_per_second, now);
  if (!admitted) {
    fake->refused_calls += 1;
    return reply(GatewayError(kHttpTooManyRequests, "too many requests"));
  }
  const Result<Json> answer = (fake->keys.*operation.call)(request.value, now);
  if (!answer.ok()) return reply(GatewayError(kHttpBadRequest, answer.ec.message()));
  if (operation.write && fake->faults.hang_answers > 0) {
    fake->faults.hang_answers -= 1;
    fake->unanswered.push_back(reply);
    return;
  }
  if (operation.write && fake->faults.lose_answers > 0) {
    fake->faults.lose_answers -= 1;
    return reply(GatewayError(kHttpUnavailable, "answer lost"));
  }
  reply(http::JsonResponse(200, answer.value));
}

http::HttpResponse SetFaults(FakeStore* fake, const std::string& body) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "not JSON");
  FieldErrors errors;
  const StoreFaults faults = ReadStoreFaults(document.value, &errors);
  if (!errors.empty()) return http::ErrorResponse(ResultCode::kBadField, ToString(errors));
  std::vector<http::Reply> unanswered;
  {
    const std::lock_guard<std::mutex> lock(fake->mutex);
    fake->faults = faults;
    if (!faults.hang) unanswered.swap(fake->unanswered);
  }
  for (const http::Reply& it : unanswered) it(GatewayError(kHttpUnavailable, "answer lost"));
  return http::JsonResponse(200, Json::object());
}

http::HttpResponse Statistics(FakeStore* fake) {
  const std::lock_guard<std::mutex> lock(fake->mutex);
  return http::JsonResponse(200, {{"writes", fake->write_calls},
                                  {"reads", fake->read_calls},
                                  {"refused", fake->refused_calls}});
}

void Serve(FakeStore* fake, const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/fault") return reply(SetFaults(fake, request.body));
  if (path == "/statistics") return reply(Statistics(fake));
  const auto it = Operations().find(path);
  if (it == Operations().end()) return reply(GatewayError(404, "not found"));
  Duration latency;
  {
    const std::lock_guard<std::mutex> lock(fake->mutex);
    // A listening process cannot imitate a refused connection. Status 429 tells the client likewise
    // that the call was not executed.
    if (fake->faults.outage) return reply(GatewayError(kHttpTooManyRequests, "outage"));
    if (fake->faults.hang) {
      fake->unanswered.push_back(reply);
      return;
    }
    latency = fake->faults.latency;
  }
  const Operation operation = it->second;
  if (latency == Duration::zero()) return Run(fake, operation, request.body, reply);
  http::RunAfter(latency, [fake, operation, reply, body = request.body] {
    Run(fake, operation, body, reply);
  });
}

int Main(int argc, char** argv) {
  InstallSignals();
  cxxopts::Options options("fake-store", "Fake of the platform's key-value store");
  options.add_options()("listen", "address and port to listen on", cxxopts::value<std::string>());
  const auto args = ParseArguments(&options, argc, argv);
  if (!args || args->count("listen") == 0) return kExitUsage;
  const Result<Endpoint> endpoint = ParseEndpoint((*args)["listen"].as<std::string>());
  if (!endpoint.ok()) return kExitUsage;
  http::InitThreadPool(kThreads);
  FakeStore fake;
  http::HttpServer server(endpoint.value, kMaxBodyBytes,
                          [&fake](const http::HttpRequest& request, const http::Reply& reply) {
                            Serve(&fake, request, reply);
                          });
  if (server.Start()) return kExitFailure;
  ServeUntilStopped();
  server.Stop(std::chrono::seconds(1));
  return kExitOk;
}

}  // namespace
}  // namespace pomelopond::fakes

int main(int argc, char** argv) { return pomelopond::fakes::Main(argc, argv); }
