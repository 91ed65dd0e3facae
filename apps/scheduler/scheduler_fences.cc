// The part of Scheduler that proves that earlier owners of a shard have stopped.
#include <algorithm>
#include <limits>

#include "apps/scheduler/paths.h"
#include "apps/scheduler/scheduler.h"
#include "base/result_code.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kFenceTimeout = std::chrono::milliseconds(300);
// A live owner hands over a shard within one or two polls. After this time, the next owner asks it
// whether it still owns the shard, since its handover record may have been lost.
constexpr Duration kHandoverTimeout = std::chrono::seconds(3);

// Returns whether the answer to a fence message proves that `owner` has stopped renewing leases.
bool FenceReplyProvesStopped(const store::OwnerId& owner, const http::HttpResult& result) {
  if (result.ec || result.response.status != 200) return false;
  const Result<Json> document = ParseJson(result.response.body);
  if (!document.ok()) return false;
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  const std::string incarnation = reader.String("incarnation");
  const bool stopped = reader.BoolOr("stopped", false);
  if (!errors.empty()) return false;
  // An answer by another process at the same address proves that the earlier process has ended.
  return stopped || incarnation != std::to_string(owner.incarnation);
}

}  // namespace

// Requires mutex_ to be held.
bool Scheduler::IsProvedStopped(const store::OwnerId& owner) const {
  // Two processes of one host cannot listen on the same address, so a newer process proves that the
  // earlier one has ended.
  if (owner.host == own_.id) return true;
  const auto it = members_.find(owner.host);
  if (it != members_.end() && it->second.incarnation != owner.incarnation) return true;
  const auto host = hosts_.hosts.find(owner.host);
  return host != hosts_.hosts.end() && host->second.state == membership::HostState::kGone;
}

// Asks the owner in `head` whether it has stopped at the head's epoch, once per kHandoverTimeout.
// Returns true if its answer proves that it has.
bool Scheduler::OwnerReportsStopped(const std::string& shard, const store::ShardHead& head) {
  const TimePoint now = Now();
  const auto [since, first] = handover_wanted_since_.emplace(shard, now);
  if (first || now - since->second < kHandoverTimeout) return false;
  since->second = now;
  std::shared_ptr<http::HttpClient> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto peer = peers_.find(head.owner);
    if (peer == peers_.end()) return false;
    client = peer->second;
  }
  http::HttpRequest request;
  request.method = "POST";
  request.path = kFencePath;
  request.body = Json{{"shard", shard}, {"epoch", head.epoch}}.dump();
  const http::HttpResult result = client->Call(std::move(request), kFenceTimeout);
  return FenceReplyProvesStopped({head.owner, head.incarnation}, result);
}

void Scheduler::ProveOwnersStopped() {
  std::map<std::string, std::shared_ptr<ShardRunner>> runners;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runners = runners_;
  }
  for (const auto& [shard, runner] : runners) {
    for (const store::OwnerId& it : runner->unproved()) {
      bool proved = false;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        proved = IsProvedStopped(it);
      }
      if (proved) {
        runner->OnOwnerStopped(it, Now());
      } else {
        SendFence(runner, shard, it);
      }
    }
  }
}

void Scheduler::SendFence(const std::shared_ptr<ShardRunner>& runner, const std::string& shard,
                          const store::OwnerId& owner) {
  std::shared_ptr<http::HttpClient> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto peer = peers_.find(owner.host);
    if (peer == peers_.end()) return;
    client = peer->second;
  }
  http::HttpRequest request;
  request.method = "POST";
  request.path = kFencePath;
  request.body = Json{{"shard", shard}, {"epoch", runner->epoch()}}.dump();
  const std::weak_ptr<ShardRunner> weak = runner;
  client->Send(std::move(request), kFenceTimeout, [weak, owner](const http::HttpResult& result) {
    const std::shared_ptr<ShardRunner> target = weak.lock();
    if (target && FenceReplyProvesStopped(owner, result)) target->OnOwnerStopped(owner, Now());
  });
}

// Handles a fence message {"shard", "epoch"}: if this process owns the shard at a lower epoch, it
// stops running the shard. The answer states whether this process has stopped renewing leases at
// all epochs up to the one in the message.
void Scheduler::HandleFence(const http::HttpRequest& request, const http::Reply& reply) {
  const Result<Json> document = ParseJson(request.body);
  if (!document.ok()) return reply(http::ErrorResponse(ResultCode::kBadJson, "body is not JSON"));
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  const std::string shard = reader.String("shard");
  const int64_t epoch = reader.Int("epoch", 1, std::numeric_limits<int64_t>::max());
  reader.Finish();
  if (!errors.empty()) {
    return reply(http::ErrorResponse(errors.front().code, ToString(errors)));
  }
  bool stopped = true;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = runners_.find(shard);
    if (it != runners_.end() && it->second->epoch() >= epoch) {
      stopped = false;
    } else {
      if (it != runners_.end()) it->second->MarkReplaced();
      int64_t& fenced = fenced_epochs_[shard];
      fenced = std::max(fenced, epoch);
    }
  }
  reply(http::JsonResponse(200,
                           {{"incarnation", std::to_string(incarnation_)}, {"stopped", stopped}}));
}

}  // namespace pomelopond::apps
