// Fake of worker hosts: runs several workers in one process, each with its own address.
//
// POST /v1/exchange implements the worker protocol. GET /runs lists every run since the start of
// the process, so that tests need not rely on the scheduler's own reports. POST /fault sets
// {"fail_starts", "cut_off", "cut_off_from_epoch"}; see WorkerFaults. POST /restart restarts the
// worker and keeps the list of runs.
#include <limits>
#include <memory>
#include <mutex>
#include <vector>

#include "base/random_id.h"
#include "fakes/common/fake_program.h"
#include "fakes/worker/worker_state.h"
#include "http/http_server.h"
#include "http/thread_pool.h"

namespace pomelopond::fakes {
namespace {

constexpr int64_t kMaxBodyBytes = 16 << 20;
constexpr int kThreads = 4;

struct FakeWorker {
  explicit FakeWorker(Resources capacity) : state(capacity, RandomIncarnation(), Now()) {}

  std::mutex mutex;  // guards `state`
  WorkerState state;
};

http::HttpResponse Exchange(FakeWorker* fake, const std::string& body) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "not JSON");
  FieldErrors errors;
  const planning::ExchangeRequest request = planning::ReadExchangeRequest(document.value, &errors);
  if (!errors.empty()) return http::ErrorResponse(ResultCode::kBadField, ToString(errors));
  const std::lock_guard<std::mutex> lock(fake->mutex);
  const int64_t cut_off = fake->state.faults.cut_off_from_epoch;
  if (cut_off != 0 && request.epoch >= cut_off) {
    return http::JsonResponse(503, {{"error", "cut off"}});
  }
  return http::JsonResponse(200, planning::ToJson(fake->state.Exchange(request, Now())));
}

http::HttpResponse Runs(FakeWorker* fake) {
  const TimePoint now = Now();
  const std::lock_guard<std::mutex> lock(fake->mutex);
  fake->state.Advance(now);
  Json runs = Json::array();
  for (const RunRecord& it : fake->state.runs()) {
    const bool running = it.ended == TimePoint::max();
    // All processes of a machine share the monotonic clock, so the times of runs on different fakes
    // can be compared.
    runs.push_back(
        {{"task", it.id.task},
         {"attempt", it.id.attempt},
         {"started_us", it.started.time_since_epoch().count()},
         {"ended_us", running ? Json(nullptr) : Json(it.ended.time_since_epoch().count())},
         {"from_checkpoint", it.from_checkpoint},
         {"state", planning::ReportStateName(it.state)}});
  }
  return http::JsonResponse(200, {{"runs", runs},
                                  {"used", planning::ToJson(fake->state.used())},
                                  {"peak", planning::ToJson(fake->state.peak())}});
}

http::HttpResponse SetFaults(FakeWorker* fake, const std::string& body) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "not JSON");
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  WorkerFaults faults;
  faults.fail_starts = reader.BoolOr("fail_starts", false);
  faults.cut_off = reader.BoolOr("cut_off", false);
  faults.cut_off_from_epoch =
      reader.IntOr("cut_off_from_epoch", 0, std::numeric_limits<int64_t>::max(), 0);
  reader.Finish();
  if (!errors.empty()) return http::ErrorResponse(ResultCode::kBadField, ToString(errors));
  const std::lock_guard<std::mutex> lock(fake->mutex);
  fake->state.faults = faults;
  return http::JsonResponse(200, Json::object());
}

void Serve(FakeWorker* fake, const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/fault") return reply(SetFaults(fake, request.body));
  if (path == "/restart") {
    const std::lock_guard<std::mutex> lock(fake->mutex);
    fake->state.Restart(RandomIncarnation(), Now());
    return reply(http::JsonResponse(200, Json::object()));
  }
  if (path == "/runs") return reply(Runs(fake));
  if (path != "/v1/exchange") return reply(http::ErrorResponse(ResultCode::kNotFound, path));
  {
    const std::lock_guard<std::mutex> lock(fake->mutex);
    if (fake->state.faults.cut_off) return reply(http::JsonResponse(503, {{"error", "cut off"}}));
  }
  reply(Exchange(fake, request.body));
}

int Main(int argc, char** argv) {
  InstallSignals();
  cxxopts::Options options("fake-worker", "Fake of worker hosts");
  options.add_options()("listen", "addresses and ports to listen on, one for each worker",
                        cxxopts::value<std::vector<std::string>>())(
      "cpu-milli", "CPU of each host in thousandths of a core",
      cxxopts::value<int64_t>()->default_value("16000"))(
      "memory-mb", "memory of each host in MiB", cxxopts::value<int64_t>()->default_value("65536"))(
      "accelerators", "number of accelerators of each host",
      cxxopts::value<int64_t>()->default_value("0"));
  const auto args = ParseArguments(&options, argc, argv);
  if (!args || args->count("listen") == 0) return kExitUsage;
  http::InitThreadPool(kThreads);
  const Resources capacity{(*args)["cpu-milli"].as<int64_t>(), (*args)["memory-mb"].as<int64_t>(),
                           (*args)["accelerators"].as<int64_t>()};
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::vector<std::unique_ptr<http::HttpServer>> servers;
  for (const std::string& it : (*args)["listen"].as<std::vector<std::string>>()) {
    const Result<Endpoint> endpoint = ParseEndpoint(it);
    if (!endpoint.ok()) return kExitUsage;
    workers.push_back(std::make_unique<FakeWorker>(capacity));
    servers.push_back(std::make_unique<http::HttpServer>(
        endpoint.value, kMaxBodyBytes,
        [worker = workers.back().get()](const http::HttpRequest& request,
                                        const http::Reply& reply) {
          Serve(worker, request, reply);
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
