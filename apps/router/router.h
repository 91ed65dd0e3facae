// The request path of one entry host: callers to targets.
#ifndef POMELOPOND_APPS_ROUTER_ROUTER_H_
#define POMELOPOND_APPS_ROUTER_ROUTER_H_

#include <atomic>
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
#include "metrics/burn.h"
#include "metrics/registry.h"
#include "release/release.h"
#include "routing/admission.h"
#include "routing/caller_limit.h"
#include "routing/fair_queue.h"
#include "routing/retry_budget.h"
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
  static constexpr size_t kMaxQueue = 1000;  // calls of one service
  static constexpr size_t kMaxOperations = 64;

  // A request on its way to a target.
  struct Call {
    std::string service;
    std::string operation;
    std::string caller;
    routing::QueueFlow flow;
    http::HttpRequest request;  // as sent to the target
    http::Reply reply;
    TimePoint received;
    TimePoint deadline;
    bool at_most_once = false;  // must be sent at most once
    int attempts = 0;
    bool dequeued = false;        // has left the queue
    bool may_have_run = false;    // an attempt may have reached a target
    std::vector<Endpoint> tried;  // targets that did not answer it
  };
  using CallPtr = std::shared_ptr<Call>;

  // What decides on the requests of one service.
  struct ServiceState {
    routing::FairQueue<CallPtr> queue{kMaxQueue};
    routing::RetryBudget retries;
    routing::OperationLatency all;
    // Of at most kMaxOperations; further operations share the entry of the empty name, because
    // callers choose the names.
    std::map<std::string, routing::OperationLatency> operations;
  };

  void HandleService(const http::HttpRequest& request, const http::Reply& reply);
  // The refusal when the release in force does not offer the service; sets `once` of the call when
  // its operation is not idempotent.
  std::optional<http::HttpResponse> CheckService(const CallPtr& call, const std::string& operation);
  // `refusal` is the answer when the token has not been used before.
  void HandleToken(const CallPtr& call, const std::string& text, bool forwarded,
                   const std::optional<http::HttpResponse>& refusal);
  void Forward(const CallPtr& call, const std::string& host, const std::string& text);
  http::HttpResponse TokenRequiredResponse();
  http::HttpResponse Ready();
  http::HttpResponse MetricsJson();
  // Refuses the call or puts it into its queue.
  void Submit(const CallPtr& call);
  // Ok, or why the call is refused without being queued. Needs the mutex.
  ResultCode Admit(const CallPtr& call, TimePoint now);
  void Enqueue(const CallPtr& call);
  // The target for the head of a queue, or nullptr. Needs the mutex.
  routing::Target* TargetFor(const Call& call, std::vector<routing::Target>* list, int64_t queued,
                             TimePoint now);
  static routing::OperationLatency* LatencyOf(ServiceState* state, const std::string& operation);
  // Counts an answer for the target, the operation and the target's health.
  void RecordAnswer(const Call& call, const Endpoint& endpoint, TimePoint sent,
                    const http::HttpResult& result);
  // True when the call may be sent again after `result`; a retry is then counted.
  bool MayRetry(const Call& call, const http::HttpResult& result, TimePoint now);
  // Answers a call that has not been sent, or not again, because of `reason`.
  void Refuse(const CallPtr& call, ResultCode reason);
  void ExpireInQueue(const CallPtr& call);
  // Starts queued calls of a service while targets have room. Called without the mutex.
  void DispatchQueued(const std::string& service);
  void Dispatch(const CallPtr& call, const Endpoint& endpoint);
  void OnAnswer(const CallPtr& call, const Endpoint& endpoint, TimePoint sent,
                http::HttpResult result);
  void Finish(const CallPtr& call, http::HttpResponse response);
  std::shared_ptr<http::HttpClient> ClientOf(const Endpoint& endpoint);

  const EntrySettings settings_;
  const EntryHost local_host_;
  metrics::Registry metrics_;
  std::atomic<bool> stopping_{false};

  // Lock order: mutex_ only; never held while a reply is sent or a client is called.
  std::mutex mutex_;
  std::map<std::string, release::ServiceSpec> services_;
  int64_t release_version_ = 0;
  routing::TargetSet targets_;
  routing::CallerLimits limits_;
  std::map<std::string, int64_t> ranks_;                  // by caller, from the policy
  std::map<std::string, routing::CallerBucket> buckets_;  // by name of the limit
  std::map<std::string, ServiceState> states_;            // by service
  std::map<std::string, metrics::BurnSeries> burn_;       // by service
  routing::TokenTable<http::HttpResponse> tokens_;
  std::map<Endpoint, std::shared_ptr<http::HttpClient>> clients_;
  std::mt19937_64 random_;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_ROUTER_ROUTER_H_
