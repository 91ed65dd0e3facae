// The part of Router that admits, queues and refuses calls.
#include "apps/router/router.h"
#include "routing/refusal.h"

namespace pomelopond::apps {
namespace {

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

void Router::Refuse(const CallPtr& call, ResultCode reason) {
  const ResultCode code = routing::FinalCode(reason, call->may_have_run);
  metrics_.Count(metrics::Labelled("refused_total", "result", ResultName(code)));
  Finish(call, http::ErrorResponse(code, RefusalText(reason)));
}

}  // namespace pomelopond::apps
