// The part of Router that reads a request for a service.
#include <algorithm>
#include <charconv>

#include "apps/router/forwarding.h"
#include "apps/router/router.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
constexpr int64_t kMaxTimeoutMs = 600000;
constexpr size_t kMaxCallerBytes = 128;

// Returns the timeout of the request, or kBadField if the header is malformed or out of range.
Result<Duration> TimeoutOf(const http::HttpRequest& request) {
  const std::string text = http::HeaderOf(request.headers, http::kTimeoutHeader);
  if (text.empty()) return {{}, kDefaultTimeout};
  int64_t ms = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (ec != std::errc() || end != text.data() + text.size() || ms < 1 || ms > kMaxTimeoutMs) {
    return {ResultCode::kBadField, {}};
  }
  return {{}, std::chrono::milliseconds(ms)};
}

http::HttpRequest MakeTargetRequest(const http::HttpRequest& request, const std::string& path) {
  http::HttpRequest out = request;
  out.path = path;
  for (const char* it : kUnforwardedHeaders) out.headers.erase(it);
  return out;
}

}  // namespace

void Router::HandleService(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string rest = request.path.substr(std::string(kServicePrefix).size());
  const size_t slash = rest.find('/');
  const std::string service = rest.substr(0, slash);
  const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
  const std::string operation = path.substr(1, path.find_first_of("/?", 1) - 1);
  if (request.method != "GET" && request.method != "POST") {
    return reply(http::ErrorResponse(ResultCode::kMethodNotAllowed, "use GET or POST"));
  }
  const Result<Duration> timeout = TimeoutOf(request);
  if (!timeout.ok()) {
    return reply(
        http::ErrorResponse(ResultCode::kBadField, "Request-Timeout-Ms must be from 1 to 600000"));
  }
  if (http::HeaderOf(request.headers, http::kCallerHeader).size() > kMaxCallerBytes) {
    return reply(
        http::ErrorResponse(ResultCode::kBadField, "Pomelopond-Caller is above 128 bytes"));
  }
  const auto call = std::make_shared<Call>();
  call->service = service;
  call->operation = operation;
  call->caller = http::HeaderOf(request.headers, http::kCallerHeader);
  call->request = MakeTargetRequest(request, path);
  call->reply = reply;
  call->received = Now();
  call->deadline = call->received + timeout.value;
  const std::string key = http::HeaderOf(request.headers, http::kIdempotencyKeyHeader);
  // A request with a token is sent at most once, independent of the release that this router holds:
  // another router may have dispatched the request while its release listed the operation or the
  // service, or while this router had no release.
  call->at_most_once = routing::ParseToken(key).ok();
  const std::optional<http::HttpResponse> refusal = CheckService(call, operation);
  if (refusal && !call->at_most_once) return reply(*refusal);
  metrics_.Count(metrics::Labelled("requests_total", "service", service));
  if (!call->at_most_once) return Submit(call);
  const bool forwarded = !http::HeaderOf(request.headers, http::kForwardedHeader).empty();
  HandleToken(call, key, forwarded, refusal);
}

std::optional<http::HttpResponse> Router::CheckService(const CallPtr& call,
                                                       const std::string& operation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (release_version_ == 0) {
    return http::ErrorResponse(ResultCode::kNoRelease, "no release is in force yet");
  }
  const auto it = services_.find(call->service);
  if (it == services_.end()) {
    return http::ErrorResponse(ResultCode::kNotFound, "no such service: " + call->service);
  }
  const std::vector<std::string>& at_most_once = it->second.non_idempotent;
  call->at_most_once = call->at_most_once || std::find(at_most_once.begin(), at_most_once.end(),
                                                       operation) != at_most_once.end();
  return std::nullopt;
}

}  // namespace pomelopond::apps
