// The request path of one entry host: callers to targets.
#ifndef POMELOPOND_APPS_ROUTER_ROUTER_H_
#define POMELOPOND_APPS_ROUTER_ROUTER_H_

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/entry_settings.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "metrics/registry.h"
#include "release/release.h"
#include "routing/target_set.h"
#include "routing/token_table.h"

namespace pomelopond::apps {

class Router {
 public:
  Router(const EntrySettings& settings, uint64_t incarnation);

  // Answers one HTTP request, now or later.
  void Handle(const http::HttpRequest& request, const http::Reply& reply);

  void UpdateRelease(const release::Release& release);
  void UpdateHosts(const membership::HostList& hosts);

  // From now on /readyz says 503 and no tokens are issued.
  void BeginStop();

  // Housekeeping, about once a second.
  void Tick(TimePoint now);

 private:
  // A request on its way to a target.
  struct Call {
    std::string service;
    http::HttpRequest request;  // as sent to the target
    http::Reply reply;
    TimePoint received;
    TimePoint deadline;
    bool once = false;  // must be sent at most once
    int attempts = 0;
    bool may_have_run = false;  // an attempt was sent and not answered
    bool started = false;       // has left the queue
  };
  using CallPtr = std::shared_ptr<Call>;

  void HandleService(const http::HttpRequest& request, const http::Reply& reply);
  // The refusal when the release in force does not offer the service; sets `once` of the call when
  // its operation is not idempotent.
  std::optional<http::HttpResponse> CheckService(const CallPtr& call, const std::string& operation);
  // `refusal` is the answer when the token has not been used before.
  void HandleToken(const CallPtr& call, const std::string& text, bool forwarded,
                   const std::optional<http::HttpResponse>& refusal);
  void Forward(const CallPtr& call, const std::string& host, const std::string& text);
  http::HttpResponse TokenNeeded();
  http::HttpResponse Ready();
  void Submit(const CallPtr& call);
  void ExpireInQueue(const CallPtr& call);
  // Starts queued calls of a service while targets have room. Called without the mutex.
  void Pump(const std::string& service);
  void Dispatch(const CallPtr& call, const Endpoint& endpoint);
  void OnAnswer(const CallPtr& call, const Endpoint& endpoint, TimePoint sent,
                http::HttpResult result);
  void Finish(const CallPtr& call, http::HttpResponse response);
  std::shared_ptr<http::HttpClient> ClientOf(const Endpoint& endpoint);

  const EntrySettings settings_;
  const EntryHost own_;
  metrics::Registry metrics_;
  std::atomic<bool> stopping_{false};

  // Lock order: mutex_ only; never held while a reply is sent or a client is called.
  std::mutex mutex_;
  std::map<std::string, release::ServiceSpec> services_;
  int64_t release_version_ = 0;
  routing::TargetSet targets_;
  std::map<std::string, std::deque<CallPtr>> queues_;
  routing::TokenTable<http::HttpResponse> tokens_;
  std::map<Endpoint, std::shared_ptr<http::HttpClient>> clients_;
  std::mt19937_64 random_;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_ROUTER_ROUTER_H_
