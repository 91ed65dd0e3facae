// The part of Router that sends queued calls to targets and handles their answers.
#include <algorithm>

#include "apps/router/forwarding.h"
#include "apps/router/router.h"
#include "routing/ejection.h"
#include "routing/refusal.h"
#include "routing/target_choice.h"

namespace pomelopond::apps {
namespace {

constexpr int kMaxAttempts = 3;

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

}  // namespace

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

std::shared_ptr<http::HttpClient> Router::ClientOf(const Endpoint& endpoint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::shared_ptr<http::HttpClient>& client = clients_[endpoint];
  if (!client)
    client = std::make_shared<http::HttpClient>(
        endpoint, http::HttpClientOptions{http::ConnectionReuse::kWhenRequestIdEchoed});
  return client;
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
