// The part of ShardRunner that writes the journal and confirms the ownership of the shard.
#include <algorithm>

#include "apps/scheduler/shard_runner.h"
#include "base/log.h"
#include "base/random_id.h"
#include "base/result_code.h"

namespace pomelopond::apps {
namespace {

// Upper bound of the time between two confirmations of the ownership without appends.
constexpr Duration kConfirmInterval = std::chrono::seconds(10);
constexpr int64_t kRecordsPerSnapshot = 500;
constexpr Duration kResolveInterval = std::chrono::milliseconds(200);

}  // namespace

void ShardRunner::RunJournal() {
  while (IsActive()) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_for(lock, settings_.commit_interval);
      if (Now() > hold_limit_end_ && !unproved_.empty()) ClearUnprovedOwners(Now());
    }
    if (!store_availability_->IsAvailable()) {
      RefuseRequests(ResultCode::kStoreUnavailable);
      continue;
    }
    const Batch batch = TakeBatch(Now());
    if (batch.events.empty() && batch.requests.empty()) {
      if (!batch.reported.empty()) Complete(batch, {});
      ConfirmOwnership();
      continue;
    }
    Commit(batch);
    CompactIfNeeded();
  }
}

void ShardRunner::CompactIfNeeded() {
  if (!IsActive() || log_.pending()) return;
  if (log_.position() - log_.snapshot_position() < kRecordsPerSnapshot) return;
  std::string snapshot;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot = planning::EncodeSnapshot(state_);
  }
  log_.SetUnproved(unproved());
  // Waits for the outcome of this write, since an append before that would compare with an outdated
  // head.
  const std::error_code ec = ResolveWrite(log_.Compact(snapshot, RandomId()), nullptr);
  if (ec == ResultCode::kNotOwner || ec == ResultCode::kOutcomeUnknown) MarkReplaced();
}

// Checks in the store that this process still owns the shard. An owner may renew leases only
// until hold_limit after the store last showed its ownership. Appends show it; an owner without
// appends needs this check.
void ShardRunner::ConfirmOwnership() {
  const TimePoint now = Now();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (now - ownership_confirmed_ < std::min(kConfirmInterval, settings_.hold_limit / 4)) return;
  }
  const std::error_code ec = log_.VerifyOwnership();
  if (ec == ResultCode::kNotOwner) return MarkReplaced();
  if (ec) return store_availability_->MarkUnavailable();
  const std::lock_guard<std::mutex> lock(mutex_);
  ownership_confirmed_ = now;
}

// Waits until the outcome of a write is known, because nothing else may be journalled before that.
// The callers of its requests are told that the outcome is unknown, so that they need not wait for
// the end of an outage.
std::error_code ShardRunner::ResolveWrite(std::error_code ec, Batch* batch) {
  if (ec == ResultCode::kStoreUnavailable) store_availability_->MarkUnavailable();
  if (ec == ResultCode::kStoreAnswerLost) {
    store_availability_->MarkUnavailable();
    if (batch != nullptr) AnswerOutcomeUnknown(batch);
  }
  while (ec == ResultCode::kStoreAnswerLost && IsActive()) {
    std::this_thread::sleep_for(kResolveInterval);
    RefuseRequests(ResultCode::kStoreUnavailable);
    if (!store_availability_->IsAvailable()) continue;
    ec = log_.Resolve();
    if (ec == ResultCode::kStoreAnswerLost) store_availability_->MarkUnavailable();
  }
  return ec;
}

void ShardRunner::AnswerOutcomeUnknown(Batch* batch) {
  std::vector<Request> requests;
  requests.swap(batch->requests);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Request& it : requests) {
      const bool accept = it.event.type == planning::EventType::kAccept;
      unresolved_jobs_.insert(accept ? it.event.spec.id : it.event.job);
    }
  }
  for (const Request& it : requests) it.callback(ResultCode::kOutcomeUnknown);
}

void ShardRunner::RefuseRequests(std::error_code ec) {
  std::vector<std::pair<OutcomeCallback, std::error_code>> answers;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Request& it : requests_) {
      const bool accept = it.event.type == planning::EventType::kAccept;
      const bool unresolved = unresolved_jobs_.count(accept ? it.event.spec.id : it.event.job) != 0;
      answers.emplace_back(it.callback,
                           unresolved ? std::error_code(ResultCode::kOutcomeUnknown) : ec);
    }
    requests_.clear();
  }
  for (const auto& [callback, answer] : answers) callback(answer);
}

void ShardRunner::Commit(const Batch& taken) {
  Batch batch = taken;
  const TimePoint now = Now();
  std::error_code ec;
  if (!batch.events.empty()) {
    log_.SetUnproved(unproved());
    ec = ResolveWrite(log_.Append(planning::EncodeEvents(batch.events), RandomId()), &batch);
  }
  if (ec == ResultCode::kNotOwner || ec == ResultCode::kOutcomeUnknown) MarkReplaced();
  if (!ec && !batch.events.empty()) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ownership_confirmed_ = now;
  }
  Complete(batch, ec);
}

}  // namespace pomelopond::apps
