#include "apps/router/router.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"
#include "base/random_id.h"
#include "routing/target_choice.h"

namespace pomelopond::apps {
namespace {

constexpr const char* kServicePrefix = "/v1/services/";
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
constexpr int64_t kMaxTimeoutMs = 600000;
constexpr size_t kMaxQueue = 1000;  // calls of one service
constexpr int kMaxAttempts = 3;
constexpr int kUnavailable = 503;  // with the leaving header: the target has not run the request

// Headers that concern one connection or that the router sets itself.
constexpr const char* kHopHeaders[] = {"Connection",        "Host",
                                       "Content-Length",    "Keep-Alive",
                                       "Transfer-Encoding", http::kForwardedHeader,
                                       http::kRequestHeader};

std::vector<std::string> HostIds(const EntrySettings& settings) {
  std::vector<std::string> ids;
  for (const EntryHost& it : settings.entry_hosts) ids.push_back(it.id);
  return ids;
}

// Empty when the header is malformed.
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

http::HttpRequest ForTarget(const http::HttpRequest& request, const std::string& path) {
  http::HttpRequest out = request;
  out.path = path;
  for (const char* it : kHopHeaders) out.headers.erase(it);
  return out;
}

int64_t MillisecondsLeft(TimePoint deadline, TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

http::HttpResponse FromTarget(http::HttpResponse response) {
  for (const char* it : kHopHeaders) response.headers.erase(it);
  response.headers[http::kOutcomeHeader] = OutcomeName(Outcome::kDone);
  return response;
}

}  // namespace

Router::Router(const EntrySettings& settings, uint64_t incarnation)
    : settings_(settings), own_(OwnHost(settings)), random_(incarnation) {
  tokens_.host = own_.id;
  tokens_.incarnation = incarnation;
  tokens_.secret = RandomId() + RandomId();
}

void Router::UpdateRelease(const release::Release& release) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (release.version <= release_version_) return;
  release_version_ = release.version;
  services_ = release::ServicesOf(release);
  metrics_.Set("release_version", release.version);
}

void Router::UpdateHosts(const membership::HostList& hosts) {
  std::vector<std::string> services;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    targets_ = routing::UpdateTargets(targets_, hosts, own_.id, HostIds(settings_));
    for (const auto& [service, list] : targets_) services.push_back(service);
  }
  for (const std::string& it : services) Pump(it);
}

void Router::BeginStop() { stopping_.store(true); }

void Router::Tick(TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  routing::DropExpired(&tokens_, now);
  metrics_.Set("tokens_open", static_cast<int64_t>(tokens_.used.size()));
}

http::HttpResponse Router::Ready() {
  const std::lock_guard<std::mutex> lock(mutex_);
  bool usable = false;
  for (const auto& [service, list] : targets_) {
    for (const routing::Target& it : list) usable = usable || !it.leaving;
  }
  const bool ready = !stopping_.load() && release_version_ > 0 && usable;
  return http::JsonResponse(ready ? 200 : 503, {{"ready", ready},
                                                {"stopping", stopping_.load()},
                                                {"release", release_version_},
                                                {"targets", usable}});
}

void Router::Handle(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/healthz") return reply(http::JsonResponse(200, {{"status", "ok"}}));
  if (path == "/readyz") return reply(Ready());
  if (path == "/metrics") {
    http::HttpResponse response;
    response.headers["Content-Type"] = "text/plain; version=0.0.4";
    response.body = metrics_.Text();
    return reply(std::move(response));
  }
  if (path == "/v1/metrics") return reply(http::JsonResponse(200, metrics_.Snapshot()));
  if (path.rfind(kServicePrefix, 0) == 0) return HandleService(request, reply);
  reply(http::ErrorResponse(ResultCode::kNotFound, "no such path: " + path));
}

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
  const auto call = std::make_shared<Call>();
  call->service = service;
  call->request = ForTarget(request, path);
  call->reply = reply;
  call->received = Now();
  call->deadline = call->received + timeout.value;
  const std::string key = http::HeaderOf(request.headers, http::kKeyHeader);
  // A token decides whatever release this router holds: another router may have dispatched the
  // request while the operation or the service was listed, or while this one had no release.
  call->once = routing::ParseToken(key).ok();
  const std::optional<http::HttpResponse> refusal = CheckService(call, operation);
  if (refusal && !call->once) return reply(*refusal);
  metrics_.Count(metrics::Labelled("requests_total", "service", service));
  if (!call->once) return Submit(call);
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
  const std::vector<std::string>& once = it->second.non_idempotent;
  call->once = call->once || std::find(once.begin(), once.end(), operation) != once.end();
  return std::nullopt;
}

http::HttpResponse Router::TokenNeeded() {
  if (stopping_.load()) {
    return http::ErrorResponse(ResultCode::kStopping, "this router is stopping");
  }
  http::HttpResponse response = http::ErrorResponse(
      ResultCode::kTokenRequired,
      "send the request again with the token of this answer as Idempotency-Key");
  const std::lock_guard<std::mutex> lock(mutex_);
  response.headers[http::kTokenHeader] = routing::IssueToken(&tokens_, Now());
  return response;
}

void Router::HandleToken(const CallPtr& call, const std::string& text, bool forwarded,
                         const std::optional<http::HttpResponse>& refusal) {
  const Result<routing::Token> token = routing::ParseToken(text);
  if (!token.ok()) return call->reply(TokenNeeded());
  if (token.value.host != own_.id) {
    if (!forwarded) return Forward(call, token.value.host, text);
    // Not "not run": the header may be the caller's own, and the issuer may have dispatched.
    return call->reply(
        http::ErrorResponse(ResultCode::kRouterGone, "the token was issued by another router"));
  }
  const std::string fingerprint =
      call->request.method + " " + call->service + call->request.path + "\n" + call->request.body;
  http::HttpResponse replay;
  routing::TokenUse use;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (token.value.incarnation != tokens_.incarnation) {
      return call->reply(http::ErrorResponse(ResultCode::kRouterGone,
                                             "the router process that issued the token has ended"));
    }
    use = routing::UseToken<http::HttpResponse>(&tokens_, token.value, text, fingerprint,
                                                call->reply, Now(), &replay);
  }
  switch (use) {
    case routing::TokenUse::kDispatch: {
      const http::Reply reply = call->reply;
      const int64_t sequence = token.value.sequence;
      call->reply = [this, reply, sequence](const http::HttpResponse& response) {
        std::vector<std::function<void(http::HttpResponse)>> waiting;
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          waiting = routing::FinishToken(&tokens_, sequence, response);
        }
        reply(response);
        for (const auto& it : waiting) it(response);
      };
      if (refusal) return call->reply(*refusal);
      return Submit(call);
    }
    case routing::TokenUse::kWait:
      // The first request may have a later deadline than this one.
      http::RunAfter(call->deadline - Now(), [reply = call->reply] {
        reply(http::ErrorResponse(ResultCode::kTimeout,
                                  "the first request with this token is still in flight"));
      });
      return;
    case routing::TokenUse::kReplay:
      return call->reply(replay);
    case routing::TokenUse::kExpired:
      return call->reply(http::ErrorResponse(ResultCode::kTokenExpired,
                                             "the token is too old; its outcome is not known"));
    case routing::TokenUse::kForged:
      return call->reply(http::ErrorResponse(
          ResultCode::kBadField, "the token is not valid for this request; fetch a new one"));
  }
}

void Router::Forward(const CallPtr& call, const std::string& host, const std::string& text) {
  for (const EntryHost& it : settings_.entry_hosts) {
    if (it.id != host) continue;
    http::HttpRequest request = call->request;
    request.path = kServicePrefix + call->service + call->request.path;
    request.headers[http::kForwardedHeader] = "1";
    request.headers[http::kKeyHeader] = text;
    const TimePoint now = Now();
    // 0 would be refused as malformed, with "not run".
    request.headers[http::kTimeoutHeader] =
        std::to_string(std::max<int64_t>(1, MillisecondsLeft(call->deadline, now)));
    // The token makes a repeat harmless, so a pooled connection will do.
    ClientOf(it.router)->Send(request, call->deadline - now, [call](http::HttpResult result) {
      if (!result.ec) return call->reply(std::move(result.response));
      call->reply(http::ErrorResponse(ResultCode::kRouterGone,
                                      "the router that issued the token did not answer"));
    });
    return;
  }
  // A host that was replaced under another id may have dispatched the request before.
  call->reply(http::ErrorResponse(ResultCode::kRouterGone,
                                  "the router that issued the token is not in the settings"));
}

std::shared_ptr<http::HttpClient> Router::ClientOf(const Endpoint& endpoint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::shared_ptr<http::HttpClient>& client = clients_[endpoint];
  if (!client) client = std::make_shared<http::HttpClient>(endpoint, http::Reuse::kEchoed);
  return client;
}

void Router::Submit(const CallPtr& call) {
  // Not read from the call: once it is in the queue, another thread may dispatch it.
  bool full = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<CallPtr>& queue = queues_[call->service];
    full = queue.size() >= kMaxQueue;
    if (!full) queue.push_back(call);
    call->started = full;
  }
  if (full) {
    return Finish(call, http::ErrorResponse(ResultCode::kQueueFull, "too many requests wait"));
  }
  Pump(call->service);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (call->started) return;
  }
  http::RunAfter(call->deadline - Now(), [this, call] { ExpireInQueue(call); });
}

void Router::ExpireInQueue(const CallPtr& call) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (call->started) return;
    std::deque<CallPtr>& queue = queues_[call->service];
    queue.erase(std::remove(queue.begin(), queue.end(), call), queue.end());
    call->started = true;
  }
  Finish(call, http::ErrorResponse(ResultCode::kDeadlineTooShort,
                                   "no target was free before the deadline"));
}

void Router::Pump(const std::string& service) {
  for (;;) {
    CallPtr call;
    Endpoint endpoint;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      std::deque<CallPtr>& queue = queues_[service];
      std::vector<routing::Target>& list = targets_[service];
      if (queue.empty()) return;
      const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
      const int n = routing::ChooseTarget(list, own_.failure_domain,
                                          static_cast<int64_t>(queue.size()), Now(), draw);
      if (n < 0) return;
      call = queue.front();
      queue.pop_front();
      call->started = true;
      routing::Target& target = list[static_cast<size_t>(n)];
      target.in_flight += 1;
      target.last_sent = Now();
      endpoint = target.endpoint;
    }
    Dispatch(call, endpoint);
  }
}

void Router::Dispatch(const CallPtr& call, const Endpoint& endpoint) {
  call->attempts += 1;
  const TimePoint now = Now();
  http::HttpRequest request = call->request;
  request.headers[http::kTimeoutHeader] = std::to_string(MillisecondsLeft(call->deadline, now));
  const auto done = [this, call, endpoint, now](http::HttpResult result) {
    OnAnswer(call, endpoint, now, std::move(result));
  };
  const std::shared_ptr<http::HttpClient> client = ClientOf(endpoint);
  if (call->once) {
    client->SendOnce(std::move(request), call->deadline - now, done);
  } else {
    client->Send(std::move(request), call->deadline - now, done);
  }
}

void Router::OnAnswer(const CallPtr& call, const Endpoint& endpoint, TimePoint sent,
                      http::HttpResult result) {
  const TimePoint now = Now();
  const bool said_leaving = !http::HeaderOf(result.response.headers, http::kLeavingHeader).empty();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    routing::Target* target = routing::FindTarget(&targets_, call->service, endpoint);
    if (target != nullptr) {
      target->in_flight -= 1;
      routing::AddLatency(target, now - sent, now);
      target->said_leaving = target->said_leaving || said_leaving;
      target->leaving = target->leaving || said_leaving;
    }
  }
  const bool refused = said_leaving && result.response.status == kUnavailable;
  if (refused && !call->once && call->attempts < kMaxAttempts && now < call->deadline) {
    metrics_.Count(metrics::Labelled("retries_total", "service", call->service));
    Submit(call);
  } else if (!result.ec) {
    Finish(call, FromTarget(std::move(result.response)));
  } else {
    const bool nothing_sent = result.ec == ResultCode::kTargetUnreachable;
    if (!nothing_sent) call->may_have_run = true;
    const bool again =
        (nothing_sent || !call->once) && call->attempts < kMaxAttempts && now < call->deadline;
    if (again) {
      metrics_.Count(metrics::Labelled("retries_total", "service", call->service));
      Submit(call);
    } else {
      const auto code = static_cast<ResultCode>(result.ec.value());
      Finish(call, http::ErrorResponse(code, "target " + ToString(endpoint) + " did not answer"));
    }
  }
  Pump(call->service);
}

void Router::Finish(const CallPtr& call, http::HttpResponse response) {
  std::string outcome = http::HeaderOf(response.headers, http::kOutcomeHeader);
  // A refusal of a later attempt says nothing about an earlier one that was sent.
  if (call->may_have_run && outcome == OutcomeName(Outcome::kNotRun)) {
    response = http::ErrorResponse(ResultCode::kOutcomeUnknown,
                                   "an attempt was sent and not answered; then: " + response.body);
    outcome = OutcomeName(Outcome::kUnknown);
  }
  metrics_.Count(metrics::Labelled("answers_total", "outcome", outcome));
  metrics_.Observe(metrics::Labelled("request_seconds", "service", call->service),
                   Now() - call->received);
  call->reply(std::move(response));
}

}  // namespace pomelopond::apps
