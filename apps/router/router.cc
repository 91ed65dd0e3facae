#include "apps/router/router.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"
#include "base/random_id.h"
#include "routing/ejection.h"
#include "routing/refusal.h"
#include "routing/target_choice.h"

namespace pomelopond::apps {
namespace {

constexpr const char* kServicePrefix = "/v1/services/";
constexpr Duration kDefaultTimeout = std::chrono::seconds(30);
constexpr int64_t kMaxTimeoutMs = 600000;
constexpr size_t kMaxCallerBytes = 128;
constexpr int kMaxAttempts = 3;

// Headers that apply to a single connection or that the router sets itself. They are not forwarded.
constexpr const char* kUnforwardedHeaders[] = {"Connection",          "Host",
                                               "Content-Length",      "Keep-Alive",
                                               "Transfer-Encoding",   http::kForwardedHeader,
                                               http::kRequestIdHeader};

std::vector<std::string> HostIds(const EntrySettings& settings) {
  std::vector<std::string> ids;
  for (const EntryHost& it : settings.entry_hosts) ids.push_back(it.id);
  return ids;
}

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

int64_t MillisecondsLeft(TimePoint deadline, TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

http::HttpResponse MakeCallerResponse(http::HttpResponse response) {
  for (const char* it : kUnforwardedHeaders) response.headers.erase(it);
  response.headers[http::kOutcomeHeader] = OutcomeName(Outcome::kDone);
  return response;
}

// Returns true if the result counts as a failure of the target: a transport error, or a status that
// a leaving or broken target returns. All other statuses are answers of the service itself.
bool IsFailure(const http::HttpResult& result) {
  return result.ec || result.response.status == 502 || result.response.status == 503 ||
         result.response.status == 504;
}

bool AnnouncesLeaving(const http::HttpResult& result) {
  return !http::HeaderOf(result.response.headers, http::kLeavingHeader).empty();
}

// Returns the ranks by team that the policy in force assigns. A caller has the rank of the team of
// the same name.
std::map<std::string, int64_t> RanksOf(const release::Release& release) {
  const std::string prefix = "team-rank.";
  std::map<std::string, int64_t> ranks;
  for (const auto& [subject, value] : release.resolved) {
    if (subject.rfind(prefix, 0) != 0 || !value.is_object()) continue;
    const auto rank = value.find("rank");
    if (rank == value.end() || !rank->is_number_integer()) continue;
    ranks[subject.substr(prefix.size())] = rank->get<int64_t>();
  }
  return ranks;
}

const char* RefusalText(ResultCode code) {
  switch (code) {
    case ResultCode::kCallerLimit:
      return "the caller is above its limit";
    case ResultCode::kQueueFull:
      return "too many requests wait";
    default:
      return "the request cannot be answered before its deadline";
  }
}

}  // namespace

Router::Router(const EntrySettings& settings, uint64_t incarnation)
    : settings_(settings), local_host_(LocalEntryHost(settings)), random_(incarnation) {
  tokens_.host = local_host_.id;
  tokens_.incarnation = incarnation;
  tokens_.secret = RandomId() + RandomId();
}

void Router::UpdateRelease(const release::Release& release) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (release.version <= release_version_) return;
  release_version_ = release.version;
  services_ = release::ServicesOf(release);
  FieldErrors errors;
  const auto limits = release.sections.find("limits");
  limits_ = limits == release.sections.end() ? routing::CallerLimits{}
                                             : routing::ReadCallerLimits(limits->second, &errors);
  for (const FieldError& it : errors) {
    Log(LogLevel::kWarn, "router", "limit_ignored", {{"path", it.path}, {"error", it.text}});
  }
  routing::RemoveUnlistedBuckets(limits_, &buckets_);
  ranks_ = RanksOf(release);
  metrics_.Set("release_version", release.version);
}

void Router::UpdateHosts(const membership::HostList& hosts) {
  std::vector<std::string> services;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    targets_ = routing::UpdateTargets(targets_, hosts, local_host_.id, HostIds(settings_));
    for (const auto& [service, list] : targets_) services.push_back(service);
  }
  for (const std::string& it : services) DispatchQueued(it);
}

void Router::BeginStop() { stopping_.store(true); }

void Router::Tick(TimePoint now) {
  std::vector<std::string> services;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    routing::RemoveExpiredTokens(&tokens_, now);
    metrics_.Set("tokens_open", static_cast<int64_t>(tokens_.records.size()));
    for (auto& [service, list] : targets_) {
      services.push_back(service);
      const int ejected = routing::UpdateEjection(&list, now);
      metrics_.Count(metrics::Labelled("ejections_total", "service", service), ejected);
      int64_t out = 0;
      for (const routing::Target& it : list) {
        if (!it.leaving && it.health.state != routing::HealthState::kHealthy) out += 1;
      }
      metrics_.Set(metrics::Labelled("targets_ejected", "service", service), out);
      metrics_.Set(metrics::Labelled("queue_length", "service", service),
                   static_cast<int64_t>(states_[service].queue.size()));
    }
  }
  // UpdateEjection() may have made ejected targets available again by putting them on probation.
  for (const std::string& it : services) DispatchQueued(it);
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

// Returns the metrics together with the objective of each service and its request counts over the
// short and the long burn window.
http::HttpResponse Router::MetricsJson() {
  const TimePoint now = Now();
  const auto counts = [now](const metrics::BurnSeries& series, Duration window) -> Json {
    const metrics::BurnCounts sum = metrics::CountsWithin(series, window, now);
    return {{"good", sum.good}, {"bad", sum.bad}};
  };
  Json document = metrics_.Snapshot();
  Json burn = Json::object();
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [service, series] : burn_) {
    const auto spec = services_.find(service);
    if (spec == services_.end()) continue;
    burn[service] = {{"objective_ms", spec->second.objective_ms},
                     {"objective_ratio", spec->second.objective_ratio},
                     {"short", counts(series, metrics::kShortWindow)},
                     {"long", counts(series, metrics::kLongWindow)}};
  }
  document["burn"] = burn;
  return http::JsonResponse(200, document);
}

void Router::Handle(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/healthz") return reply(http::JsonResponse(200, {{"status", "ok"}}));
  if (path == "/readyz") return reply(Ready());
  if (path == "/metrics") return reply(http::MetricsResponse(metrics_.ExpositionText()));
  if (path == "/v1/metrics") return reply(MetricsJson());
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

http::HttpResponse Router::TokenRequiredResponse() {
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
  if (!token.ok()) return call->reply(TokenRequiredResponse());
  if (token.value.host != local_host_.id) {
    if (!forwarded) return Forward(call, token.value.host, text);
    // The outcome is unknown, not "not run": the caller may have set the header itself, and the
    // router that issued the token may have dispatched the request.
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
    use = routing::RedeemToken<http::HttpResponse>(&tokens_, token.value, text, fingerprint,
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
      // Answers the duplicate at its own deadline, because the first request may have a later one.
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
    case routing::TokenUse::kInvalid:
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
    request.headers[http::kIdempotencyKeyHeader] = text;
    const TimePoint now = Now();
    // The timeout is at least 1 ms: the other router would refuse 0 as malformed, with "not run".
    request.headers[http::kTimeoutHeader] =
        std::to_string(std::max<int64_t>(1, MillisecondsLeft(call->deadline, now)));
    // The token makes a repeated request harmless, so a pooled connection, over which the HTTP
    // library may send the request again, is safe.
    ClientOf(it.router)->Send(request, call->deadline - now, [call](http::HttpResult result) {
      if (!result.ec) return call->reply(std::move(result.response));
      call->reply(http::ErrorResponse(ResultCode::kRouterGone,
                                      "the router that issued the token did not answer"));
    });
    return;
  }
  // The issuer may have dispatched the request before its host was replaced under another id.
  call->reply(http::ErrorResponse(ResultCode::kRouterGone,
                                  "the router that issued the token is not in the settings"));
}

std::shared_ptr<http::HttpClient> Router::ClientOf(const Endpoint& endpoint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::shared_ptr<http::HttpClient>& client = clients_[endpoint];
  if (!client)
    client =
        std::make_shared<http::HttpClient>(endpoint, http::ConnectionReuse::kWhenRequestIdEchoed);
  return client;
}

void Router::Refuse(const CallPtr& call, ResultCode reason) {
  const ResultCode code = routing::FinalCode(reason, call->may_have_run);
  metrics_.Count(metrics::Labelled("refused_total", "result", ResultName(code)));
  Finish(call, http::ErrorResponse(code, RefusalText(reason)));
}

routing::OperationLatency* Router::LatencyOf(ServiceState* state, const std::string& operation) {
  const auto it = state->operations.find(operation);
  if (it != state->operations.end()) return &it->second;
  return &state->operations[state->operations.size() < kMaxOperations ? operation : ""];
}

ResultCode Router::Admit(const CallPtr& call, TimePoint now) {
  const std::string name = routing::LimitNameOf(limits_, call->caller);
  const routing::CallerLimit limit = routing::LimitOf(limits_, name);
  const auto rank = ranks_.find(call->caller);
  call->flow = {call->caller, rank == ranks_.end() ? 0 : rank->second, limit.weight};
  ServiceState& state = states_[call->service];
  routing::QueueEstimate estimate;
  estimate.requests = state.queue.CountAhead(call->flow);
  estimate.latency = state.all.mean;
  estimate.caller_wait = state.queue.EstimateCallerWait(call->flow);
  for (const routing::Target& it : targets_[call->service]) {
    const bool healthy = it.health.state == routing::HealthState::kHealthy;
    if (!it.leaving && healthy) estimate.slots += it.slot_share;
  }
  if (!routing::AdmitToQueue(*LatencyOf(&state, call->operation), estimate, call->deadline, now)) {
    return ResultCode::kDeadlineTooShort;
  }
  // The limit is checked last, so that a request that is refused for another reason does not count
  // against the caller's limit.
  const auto routers = static_cast<int64_t>(settings_.entry_hosts.size());
  if (!routing::TryAcquireRequest(&buckets_[name], limit, routers, now))
    return ResultCode::kCallerLimit;
  routing::AddRequest(&state.retries);
  return ResultCode::kOk;
}

void Router::Submit(const CallPtr& call) {
  ResultCode code;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    code = Admit(call, Now());
  }
  if (code != ResultCode::kOk) return Refuse(call, code);
  Enqueue(call);
}

void Router::Enqueue(const CallPtr& call) {
  std::optional<CallPtr> displaced;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    call->dequeued = false;
    displaced = states_[call->service].queue.Push(call->flow, call);
    if (displaced) (*displaced)->dequeued = true;
  }
  if (displaced) Refuse(*displaced, ResultCode::kQueueFull);
  DispatchQueued(call->service);
  {
    // Most calls are dispatched immediately and need no timer. A timer would keep the call in
    // memory until its deadline.
    const std::lock_guard<std::mutex> lock(mutex_);
    if (call->dequeued) return;
  }
  http::RunAfter(call->deadline - Now(), [this, call] { ExpireInQueue(call); });
}

void Router::ExpireInQueue(const CallPtr& call) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (call->dequeued) return;
    states_[call->service].queue.Remove(call->flow, call);
    call->dequeued = true;
  }
  Refuse(call, ResultCode::kDeadlineTooShort);
}

routing::Target* Router::TargetFor(const Call& call, std::vector<routing::Target>* list,
                                   int64_t queued, TimePoint now) {
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  int n = -1;
  if (!call.tried.empty()) {
    // Prefers targets that have not been tried, but tries one again rather than none.
    std::vector<routing::Target> others = *list;
    for (routing::Target& it : others) {
      const auto found = std::find(call.tried.begin(), call.tried.end(), it.endpoint);
      if (found != call.tried.end()) it.slot_share = 0;
    }
    n = routing::ChooseTarget(others, local_host_.failure_domain, queued, now, draw);
  }
  if (n < 0) n = routing::ChooseTarget(*list, local_host_.failure_domain, queued, now, draw);
  return n < 0 ? nullptr : &(*list)[static_cast<size_t>(n)];
}

void Router::DispatchQueued(const std::string& service) {
  for (;;) {
    CallPtr call;
    Endpoint endpoint;
    bool send = true;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ServiceState& state = states_[service];
      if (state.queue.size() == 0) return;
      const TimePoint now = Now();
      call = state.queue.Front();
      routing::OperationLatency* latency = LatencyOf(&state, call->operation);
      send = routing::AdmitToTarget(*latency, call->deadline, now);
      if (send) {
        routing::Target* target =
            TargetFor(*call, &targets_[service], static_cast<int64_t>(state.queue.size()), now);
        if (target == nullptr) return;
        state.queue.Pop(now);
        target->in_flight += 1;
        target->last_sent = now;
        latency->last_sent = now;
        endpoint = target->endpoint;
      } else {
        state.queue.DiscardFront();
      }
      call->dequeued = true;
    }
    if (send) {
      Dispatch(call, endpoint);
    } else {
      Refuse(call, ResultCode::kDeadlineTooShort);
    }
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
  if (call->at_most_once) {
    client->SendOnce(std::move(request), call->deadline - now, done);
  } else {
    client->Send(std::move(request), call->deadline - now, done);
  }
}

void Router::RecordAnswer(const Call& call, const Endpoint& endpoint, TimePoint sent,
                          const http::HttpResult& result) {
  const TimePoint now = Now();
  const bool failed = IsFailure(result);
  const std::lock_guard<std::mutex> lock(mutex_);
  ServiceState& state = states_[call.service];
  // Failures are often fast and must not lower the latency estimate of a target or an operation.
  if (!failed) {
    routing::RecordLatencySample(LatencyOf(&state, call.operation), now - sent);
    routing::RecordLatencySample(&state.all, now - sent);
  }
  routing::Target* target = routing::FindTarget(&targets_, call.service, endpoint);
  if (target == nullptr) return;
  target->in_flight -= 1;
  const bool late = result.ec == ResultCode::kTimeout;
  if (!failed || late) routing::RecordLatency(target, now - sent, now);
  // A timeout after less than twice the target's usual latency is attributed to the caller's short
  // deadline, not to the target.
  const bool target_fault = failed && (!late || now - sent >= 2 * target->latency);
  if (AnnouncesLeaving(result)) {
    routing::MarkAnnouncedLeaving(target);
  } else if (!failed || target_fault) {
    routing::RecordResult(target, target_fault, now);
  }
}

bool Router::MayRetry(const Call& call, const http::HttpResult& result, TimePoint now) {
  if (call.attempts >= kMaxAttempts || now >= call.deadline) return false;
  const bool nothing_sent = result.ec == ResultCode::kTargetUnreachable;
  if (call.at_most_once && !nothing_sent) return false;
  const bool refused_leaving = result.response.status == 503 && AnnouncesLeaving(result);
  if (!result.ec && !refused_leaving) return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (routing::TryAcquireRetry(&states_[call.service].retries)) {
    metrics_.Count(metrics::Labelled("retries_total", "service", call.service));
    return true;
  }
  metrics_.Count(metrics::Labelled("retries_denied_total", "service", call.service));
  return false;
}

void Router::OnAnswer(const CallPtr& call, const Endpoint& endpoint, TimePoint sent,
                      http::HttpResult result) {
  RecordAnswer(*call, endpoint, sent, result);
  if (result.ec != ResultCode::kTargetUnreachable) call->may_have_run = true;
  if (MayRetry(*call, result, Now())) {
    call->tried.push_back(endpoint);
    Enqueue(call);
  } else if (!result.ec) {
    Finish(call, MakeCallerResponse(std::move(result.response)));
  } else {
    const ResultCode code =
        routing::FinalCode(static_cast<ResultCode>(result.ec.value()), call->may_have_run);
    Finish(call, http::ErrorResponse(code, "target " + ToString(endpoint) + " did not answer"));
  }
  DispatchQueued(call->service);
}

void Router::Finish(const CallPtr& call, http::HttpResponse response) {
  const std::string outcome = http::HeaderOf(response.headers, http::kOutcomeHeader);
  metrics_.Count(metrics::Labelled("answers_total", "outcome", outcome));
  const TimePoint now = Now();
  const Duration latency = now - call->received;
  metrics_.Observe(metrics::Labelled("request_seconds", "service", call->service), latency);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto spec = services_.find(call->service);
    const bool in_time = spec != services_.end() &&
                         static_cast<double>(latency.count()) <= spec->second.objective_ms * 1000;
    const bool good = outcome == OutcomeName(Outcome::kDone) && in_time;
    metrics::AddRequest(&burn_[call->service], good, now);
  }
  call->reply(std::move(response));
}

}  // namespace pomelopond::apps
