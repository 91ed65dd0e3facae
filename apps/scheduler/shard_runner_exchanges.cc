// The part of ShardRunner that exchanges messages with the workers.
#include <algorithm>

#include "apps/scheduler/shard_runner.h"
#include "base/result_code.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kExchangePollInterval = std::chrono::milliseconds(20);

}  // namespace

void ShardRunner::RunExchanges() {
  while (IsActive()) {
    const TimePoint now = Now();
    std::vector<std::string> due;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      // After hold_limit, a later owner assumes that this owner has stopped renewing leases.
      const bool held_too_long = now - ownership_confirmed_ > settings_.hold_limit;
      for (const auto& [id, worker] : workers_) {
        if (worker.in_flight || held_too_long) continue;
        if (now - worker.last_sent >= settings_.exchange_interval) due.push_back(id);
      }
    }
    for (const std::string& it : due) Exchange(it, now);
    std::this_thread::sleep_for(kExchangePollInterval);
  }
  // Waits for the exchanges in flight, because their callbacks refer to this object.
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const bool waiting = std::any_of(workers_.begin(), workers_.end(),
                                       [](const auto& it) { return it.second.in_flight; });
      if (!waiting) return;
    }
    std::this_thread::sleep_for(kExchangePollInterval);
  }
}

void ShardRunner::Exchange(const std::string& host, TimePoint now) {
  http::HttpRequest request;
  std::shared_ptr<http::HttpClient> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (halted_.load()) return;
    Worker& worker = workers_[host];
    planning::ExchangeRequest exchange =
        planning::MakeExchange(state_, shard_, epoch_, settings_.lease_ttl, worker.acks,
                               pending_event_tasks_, &worker.session);
    for (const planning::AttemptId& it : worker.stale_attempts) exchange.stops.push_back(it);
    worker.in_flight = true;
    worker.last_sent = now;
    client = worker.client;
    request.body = planning::ToJson(exchange).dump();
  }
  request.method = "POST";
  request.path = "/v1/exchange";
  request.headers["Content-Type"] = "application/json";
  client->Send(std::move(request), settings_.exchange_interval * 2,
               [this, host](const http::HttpResult& result) { OnExchange(host, result); });
}

void ShardRunner::OnExchange(const std::string& host, const http::HttpResult& result) {
  FieldErrors errors;
  planning::ExchangeReply reply;
  bool usable = !result.ec && result.response.status == 200;
  if (usable) {
    const Result<Json> document = ParseJson(result.response.body);
    if (document.ok()) reply = planning::ReadExchangeReply(document.value, &errors);
    usable = document.ok() && errors.empty();
  }
  bool replaced_by_other = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Worker& worker = workers_[host];
    worker.in_flight = false;
    if (!usable) return;
    planning::ReplyDecision decision =
        planning::OnReply(state_, epoch_, reply, settings_.lease_ttl, Now(), &worker.session);
    replaced_by_other = worker.session.replaced;
    if (reply.code == 0 && !worker.journal_pending) {
      worker.acks = std::move(decision.acks);
      worker.stale_attempts = std::move(decision.stale_attempts);
      worker.journal_pending =
          !decision.events.empty() || reply.report_sequence != worker.session.known;
      worker.reported_sequence = reply.report_sequence;
      worker.reported_incarnation = reply.incarnation;
      for (planning::Event& it : decision.events) {
        pending_event_tasks_.insert(it.task);
        reported_events_.push_back(std::move(it));
      }
    }
  }
  if (replaced_by_other) MarkReplaced();
  changed_.notify_all();
}

}  // namespace pomelopond::apps
