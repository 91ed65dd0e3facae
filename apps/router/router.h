// The request router of one entry host: admits, queues and dispatches callers' requests to targets.
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

  // Answers one HTTP request through `reply`, during the call or later.
  void Handle(const http::HttpRequest& request, const http::Reply& reply);

  void UpdateRelease(const release::Release& release);
  void UpdateHosts(const membership::HostList& hosts);

  // After this call /readyz returns 503 and the router issues no tokens.
  void BeginStop();

  // Removes expired tokens, updates ejections and gauges, and dispatches queued calls. The caller
  // calls it once per kAdminPollInterval.
  void Tick(TimePoint now);

 private:
  static constexpr size_t kMaxQueue = 1000;  // maximum number of queued calls per service
  static constexpr size_t kMaxOperations = 64;

  // A caller's request from its arrival until it is answered.
  struct Call {
    std::string service;
    std::string operation;
    std::string caller;
    routing::QueueFlow flow;
    http::HttpRequest request;  // as sent to the target
    http::Reply reply;
    TimePoint received;
    TimePoint deadline;
    bool at_most_once = false;  // the request must be sent at most once
    int attempts = 0;
    bool dequeued = false;        // the call has left the queue
    bool may_have_run = false;    // an attempt may have reached a target
    std::vector<Endpoint> tried;  // targets of failed attempts
  };
  using CallPtr = std::shared_ptr<Call>;

  // The queue, retry budget and latencies of one service, on which admission is based.
  struct ServiceState {
    routing::FairQueue<CallPtr> queue{kMaxQueue};
    routing::RetryBudget retries;
    routing::OperationLatency all;
    // Latency by operation, for at most kMaxOperations operations. The number is bounded because
    // callers choose the names; further operations share the entry with the empty name.
    std::map<std::string, routing::OperationLatency> operations;
  };

  void HandleService(const http::HttpRequest& request, const http::Reply& reply);
  // Returns a refusal if the release in force does not list the service. Sets `at_most_once` of the
  // call if its operation is not idempotent.
  std::optional<http::HttpResponse> CheckService(const CallPtr& call, const std::string& operation);
  // If `refusal` is set, it is the answer to a token that has not been used before.
  void HandleToken(const CallPtr& call, const std::string& text, bool forwarded,
                   const std::optional<http::HttpResponse>& refusal);
  void Forward(const CallPtr& call, const std::string& host, const std::string& text);
  http::HttpResponse TokenRequiredResponse();
  http::HttpResponse Ready();
  http::HttpResponse MetricsJson();
  // Refuses the call or adds it to the queue of its service.
  void Submit(const CallPtr& call);
  // Returns kOk, or the reason why the call is refused without being queued. Requires mutex_.
  ResultCode Admit(const CallPtr& call, TimePoint now);
  void Enqueue(const CallPtr& call);
  // Returns the target for the call at the head of a queue, or nullptr if none can take it.
  // Requires mutex_.
  routing::Target* TargetFor(const Call& call, std::vector<routing::Target>* list, int64_t queued,
                             TimePoint now);
  static routing::OperationLatency* LatencyOf(ServiceState* state, const std::string& operation);
  // Records the result of an attempt in the latencies of the target and the operation, and in the
  // target's health.
  void RecordAnswer(const Call& call, const Endpoint& endpoint, TimePoint sent,
                    const http::HttpResult& result);
  // Returns true if the call may be sent again after `result`, and then counts the retry against
  // the retry budget.
  bool MayRetry(const Call& call, const http::HttpResult& result, TimePoint now);
  // Answers a call that is not sent, or not sent again, because of `reason`.
  void Refuse(const CallPtr& call, ResultCode reason);
  void ExpireInQueue(const CallPtr& call);
  // Dispatches queued calls of a service while targets have free slots. The caller must not hold
  // mutex_.
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

  // The only lock. It is never held while a reply is sent or a client is called.
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
