// The part of Router that issues and redeems the tokens of requests sent at most once.
#include <algorithm>

#include "apps/router/forwarding.h"
#include "apps/router/router.h"

namespace pomelopond::apps {

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

}  // namespace pomelopond::apps
