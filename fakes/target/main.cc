// Fake of service executors: runs several targets in one process, each with its own address.
//
// A request for /run, or any path not listed here, is answered after the service time and counted
// by its X-Request-Id header. GET /counts returns how often each request ID and each target was
// run. POST /fault replaces the faults of all targets of the process; see TargetFaults for the
// members.
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "fakes/common/fake_program.h"
#include "fakes/target/raw_server.h"

namespace pomelopond::fakes {
namespace {

constexpr int64_t kMaxServiceMs = 600000;
constexpr int64_t kMaxCount = 1000000000;
constexpr Duration kUnsolicitedDelay = std::chrono::milliseconds(20);

// Faults of the targets. Each count is the number of next requests that get the fault. A request
// that a count applies to is run nevertheless; only its answer is faulty.
struct TargetFaults {
  Duration service_time{};       // time that the run of a request takes
  int64_t lose_answers = 0;      // the request is never answered
  int64_t close_answers = 0;     // the connection is closed without an answer
  int64_t cut_answers = 0;       // the connection is closed before the end of the body
  int64_t garble_answers = 0;    // the answer is not HTTP
  int64_t unasked_answers = 0;   // a second answer follows on the persistent connection
  int64_t redirect_answers = 0;  // the answer is a redirect (307) to the same path
  bool refuse = false;           // requests are answered with status 503 and not run
  bool leaving = false;          // every answer carries the header that the host is leaving
  std::string only;              // endpoint to which `refuse` and `leaving` are limited; empty: all
};

// How a request is answered. All kinds but kIntact are faults; see TargetFaults.
enum class AnswerKind { kIntact, kLost, kClosed, kTruncated, kGarbled, kUnsolicited, kRedirect };

struct FakeTarget {
  std::mutex mutex;  // guards all members below
  TargetFaults faults;
  std::map<std::string, int64_t> runs;               // number of runs, by X-Request-Id
  std::map<std::string, int64_t> runs_by_target;     // number of runs, by endpoint
  std::map<std::string, int64_t> arrived_by_target;  // requests by endpoint, including refused ones
  std::map<std::string, int64_t> running;            // requests being run, by endpoint
  std::map<std::string, int64_t> max_running;        // maximum of `running`, by endpoint
};

http::HttpResponse SetFaults(FakeTarget* fake, const std::string& body) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "not JSON");
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  TargetFaults faults;
  faults.service_time = std::chrono::milliseconds(reader.IntOr("service_ms", 0, kMaxServiceMs, 0));
  faults.lose_answers = reader.IntOr("lose_answers", 0, kMaxCount, 0);
  faults.close_answers = reader.IntOr("close_answers", 0, kMaxCount, 0);
  faults.cut_answers = reader.IntOr("cut_answers", 0, kMaxCount, 0);
  faults.garble_answers = reader.IntOr("garble_answers", 0, kMaxCount, 0);
  faults.unasked_answers = reader.IntOr("unasked_answers", 0, kMaxCount, 0);
  faults.redirect_answers = reader.IntOr("redirect_answers", 0, kMaxCount, 0);
  faults.refuse = reader.BoolOr("refuse", false);
  faults.leaving = reader.BoolOr("leaving", false);
  faults.only = reader.StringOr("only", "");
  reader.Finish();
  if (!errors.empty()) return http::ErrorResponse(ResultCode::kBadField, ToString(errors));
  const std::lock_guard<std::mutex> lock(fake->mutex);
  fake->faults = faults;
  return http::JsonResponse(200, Json::object());
}

http::HttpResponse Counts(FakeTarget* fake) {
  const std::lock_guard<std::mutex> lock(fake->mutex);
  return http::JsonResponse(200, {{"runs", fake->runs},
                                  {"runs_by_target", fake->runs_by_target},
                                  {"arrived_by_target", fake->arrived_by_target},
                                  {"max_running", fake->max_running}});
}

// Decrements `count` if it is above 0 and returns whether it was.
bool ConsumeOne(int64_t* count) {
  if (*count == 0) return false;
  *count -= 1;
  return true;
}

// Returns the kind of the next answer and consumes the count of its fault.
AnswerKind NextAnswerKind(TargetFaults* faults) {
  if (ConsumeOne(&faults->lose_answers)) return AnswerKind::kLost;
  if (ConsumeOne(&faults->close_answers)) return AnswerKind::kClosed;
  if (ConsumeOne(&faults->cut_answers)) return AnswerKind::kTruncated;
  if (ConsumeOne(&faults->garble_answers)) return AnswerKind::kGarbled;
  if (ConsumeOne(&faults->unasked_answers)) return AnswerKind::kUnsolicited;
  if (ConsumeOne(&faults->redirect_answers)) return AnswerKind::kRedirect;
  return AnswerKind::kIntact;
}

// Changes an intact answer into one of the given kind.
void ApplyAnswerKind(AnswerKind kind, const http::HttpRequest& request, RawAnswer* answer) {
  switch (kind) {
    case AnswerKind::kIntact:
      return;
    case AnswerKind::kLost:
      answer->no_answer = true;
      return;
    case AnswerKind::kClosed:
      answer->bytes.clear();
      answer->close = true;
      return;
    case AnswerKind::kTruncated:
      answer->bytes.resize(answer->bytes.size() - 3);
      answer->close = true;
      return;
    case AnswerKind::kGarbled:
      answer->bytes = "garbage\r\n\r\n";
      answer->close = true;
      return;
    case AnswerKind::kUnsolicited:
      answer->unsolicited_bytes = answer->bytes;
      answer->unsolicited_delay = kUnsolicitedDelay;
      return;
    case AnswerKind::kRedirect: {
      http::HttpResponse response;
      response.status = 307;
      response.headers["Location"] = request.path;
      answer->bytes = ToBytes(response);
      return;
    }
  }
}

RawAnswer Run(FakeTarget* fake, const std::string& target, const http::HttpRequest& request) {
  const std::string id = http::HeaderOf(request.headers, "X-Request-Id");
  const std::lock_guard<std::mutex> lock(fake->mutex);
  TargetFaults& faults = fake->faults;
  fake->arrived_by_target[target] += 1;
  const bool applies = faults.only.empty() || faults.only == target;
  RawAnswer answer;
  http::HttpResponse response = http::JsonResponse(
      200, {{"target", target}, {"request_id", id}, {"echo_bytes", request.body.size()}});
  const std::string router_request_id = http::HeaderOf(request.headers, http::kRequestIdHeader);
  if (!router_request_id.empty()) response.headers[http::kRequestIdHeader] = router_request_id;
  if (faults.leaving && applies) response.headers[http::kLeavingHeader] = "1";
  if (faults.refuse && applies) {
    response.status = 503;
    response.body = R"({"error":"refused"})";
    answer.bytes = ToBytes(response);
    return answer;
  }
  fake->runs[id] += 1;
  fake->runs_by_target[target] += 1;
  int64_t& running = fake->running[target];
  running += 1;
  fake->max_running[target] = std::max(fake->max_running[target], running);
  answer.delay = faults.service_time;
  answer.bytes = ToBytes(response);
  answer.done = [fake, target] {
    const std::lock_guard<std::mutex> done_lock(fake->mutex);
    fake->running[target] -= 1;
  };
  ApplyAnswerKind(NextAnswerKind(&faults), request, &answer);
  return answer;
}

RawAnswer Serve(FakeTarget* fake, const std::string& target, const http::HttpRequest& request) {
  const std::string path = http::PathOf(request);
  RawAnswer answer;
  if (path == "/fault") {
    answer.bytes = ToBytes(SetFaults(fake, request.body));
  } else if (path == "/counts") {
    answer.bytes = ToBytes(Counts(fake));
  } else {
    answer = Run(fake, target, request);
  }
  return answer;
}

int Main(int argc, char** argv) {
  InstallSignals();
  cxxopts::Options options("fake-target", "Fake of service executors");
  options.add_options()("listen", "addresses and ports to listen on, one for each target",
                        cxxopts::value<std::vector<std::string>>())(
      "service-ms", "service time in milliseconds", cxxopts::value<int64_t>()->default_value("0"));
  const auto args = ParseArguments(&options, argc, argv);
  if (!args || args->count("listen") == 0) return kExitUsage;
  FakeTarget fake;
  fake.faults.service_time = std::chrono::milliseconds((*args)["service-ms"].as<int64_t>());
  std::vector<std::unique_ptr<RawServer>> servers;
  for (const std::string& it : (*args)["listen"].as<std::vector<std::string>>()) {
    const Result<Endpoint> endpoint = ParseEndpoint(it);
    if (!endpoint.ok()) return kExitUsage;
    servers.push_back(std::make_unique<RawServer>(
        endpoint.value,
        [&fake, it](const http::HttpRequest& request) { return Serve(&fake, it, request); }));
    if (!servers.back()->Start()) return kExitFailure;
  }
  ServeUntilStopped();
  return kExitOk;
}

}  // namespace
}  // namespace pomelopond::fakes

int main(int argc, char** argv) { return pomelopond::fakes::Main(argc, argv); }
