// The part of JobService that commits a write, with retries until its outcome is known.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "entry/internal/job_service_retries.h"
#include "entry/internal/pending_write.h"
#include "entry/job_service.h"
#include "entry/keys.h"

namespace pomelopond::entry {
namespace {

// Maximum time to retry a refused commit. A store that refuses calls for this long is unlikely to
// accept one before the caller's deadline.
constexpr Duration kMaxRefusedTime = std::chrono::milliseconds(300);
constexpr Duration kMaxCommitTimeout = std::chrono::milliseconds(800);

}  // namespace

void JobService::StartWrite(PendingWrite pending, TimePoint deadline,
                            std::function<void(std::error_code)> done) {
  const auto write = std::make_shared<PendingWrite>(std::move(pending));
  write->began = Now();
  write->refused_deadline = RetryDeadline(write->began, kMaxRefusedTime, deadline);
  write->unknown_deadline = RetryDeadline(write->began, kMaxUnknownTime, deadline);
  write->done = std::move(done);
  TryCommit(write);
}

void JobService::FinishWrite(const std::shared_ptr<PendingWrite>& write, std::error_code ec) {
  const TimePoint now = Now();
  metrics_->Count(metrics::Labelled(std::string(write->name) + "_total", "result",
                                    ResultName(static_cast<ResultCode>(ec.value()))));
  metrics_->Observe(std::string(write->name) + "_time", now - write->began);
  Log(LogLevel::kInfo, "jobs", write->name,
      {{"job", write->job},
       {"result", ResultName(static_cast<ResultCode>(ec.value()))},
       {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - write->began).count()}});
  write->done(ec);
}

void JobService::TryCommit(const std::shared_ptr<PendingWrite>& write) {
  const Duration timeout =
      std::clamp<Duration>(write->unknown_deadline - Now(), kRetryDelay, kMaxCommitTimeout);
  store_->Commit(
      write->transaction, timeout,
      [this, write](const Result<store::CommitResult>& result) { OnCommit(write, result); });
}

void JobService::OnCommit(const std::shared_ptr<PendingWrite>& write,
                          const Result<store::CommitResult>& result) {
  RecordOutcome(result.ec);
  if (result.ok()) {
    if (result.value.committed) return FinishWrite(write, {});
    return OnVerdict(write, write->resolve(result.value.existing), result.value.existing);
  }
  // The lease of the write has ended, so the write has to be made anew.
  const bool has_lease = write->transaction.writes.front().lease != 0;
  if (has_lease && result.ec == ResultCode::kNotFound) {
    return FinishWrite(write, ResultCode::kStoreCompareFailed);
  }
  // Earlier copies were the same, so none of them has taken effect.
  if (result.ec == ResultCode::kStoreRejected) return FinishWrite(write, result.ec);
  if (result.ec != ResultCode::kStoreUnavailable) write->outcome_unknown = true;
  RetryCommit(write);
}

void JobService::OnVerdict(const std::shared_ptr<PendingWrite>& write, const WriteVerdict& verdict,
                           const ExistingItems& existing) {
  if (verdict.revoked_by) {
    write->outcome_unknown = false;
    const auto rename = write->rename;  // which replaces itself
    rename(write.get(), *verdict.revoked_by);
    return TryCommit(write);
  }
  if (verdict.is_final || !write->outcome_unknown) return FinishWrite(write, verdict.result);
  Revoke(write, verdict.result, RevisionOf(existing, CancelledKey(write->job)));
}

// A copy without an answer may still take effect. Once none can, the refusal is true.
void JobService::Revoke(const std::shared_ptr<PendingWrite>& write, std::error_code refusal,
                        int64_t mark) {
  cancellation_lease_.Get(Now(), [this, write, refusal, mark](const Result<int64_t>& lease) {
    RecordOutcome(lease.ec);
    if (!lease.ok()) return RetryCommit(write);
    store_->Commit(
        RevocationOf(write->job, mark, refusal, lease.value), kMaxCommitTimeout,
        [this, write, refusal, lease = lease.value](const Result<store::CommitResult>& result) {
          RecordOutcome(result.ec);
          if (result.ok() && result.value.committed) return FinishWrite(write, refusal);
          if (result.ec == ResultCode::kNotFound) cancellation_lease_.Drop(lease);
          // The next copy tells what has happened.
          RetryCommit(write);
        });
  });
}

void JobService::RetryCommit(const std::shared_ptr<PendingWrite>& write) {
  const TimePoint until =
      write->outcome_unknown ? write->unknown_deadline : write->refused_deadline;
  if (Now() + kRetryDelay < until) {
    return timer_(kRetryDelay, [this, write] { TryCommit(write); });
  }
  FinishWrite(write,
              write->outcome_unknown ? ResultCode::kOutcomeUnknown : ResultCode::kStoreUnavailable);
}

}  // namespace pomelopond::entry
