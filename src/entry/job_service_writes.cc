// The part of JobService that writes: jobs that callers submit and cancel.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "entry/internal/job_service_retries.h"
#include "entry/job_service.h"
#include "entry/keys.h"

namespace pomelopond::entry {
namespace {

// Maximum time to retry a refused commit. A store that refuses calls for this long is unlikely to
// accept one before the caller's deadline.
constexpr Duration kMaxRefusedTime = std::chrono::milliseconds(300);
constexpr Duration kMaxCommitTimeout = std::chrono::milliseconds(800);

}  // namespace

// The write of one new key, which is retried until its outcome is known.
struct JobService::PendingWrite {
  const char* name = "";
  std::string job;
  store::Transaction transaction;
  TimePoint began;
  TimePoint refused_deadline;    // end of the retries while the store refuses the commit
  TimePoint unknown_deadline;    // end of the retries once a response was lost
  bool outcome_unknown = false;  // an earlier attempt may still take effect
  std::function<void(std::error_code)> done;
};

void JobService::Submit(const jobs::Job& job, TimePoint deadline,
                        std::function<void(std::error_code)> done) {
  if (!Admit("submit", job.id)) return done(ResultCode::kStoreUnavailable);
  store::Transaction create;
  create.conditions = {{JobKey(job.id), 0}};
  create.writes = {{JobKey(job.id), jobs::Encode(job), 0}};
  StartWrite("submit", job.id, std::move(create), deadline, std::move(done));
}

void JobService::StartWrite(const char* name, const std::string& job,
                            store::Transaction transaction, TimePoint deadline,
                            std::function<void(std::error_code)> done) {
  const auto write = std::make_shared<PendingWrite>();
  write->name = name;
  write->job = job;
  write->transaction = std::move(transaction);
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
  const TimePoint limit =
      write->outcome_unknown ? write->unknown_deadline : write->refused_deadline;
  const Duration timeout =
      std::clamp<Duration>(write->unknown_deadline - Now(), kRetryDelay, kMaxCommitTimeout);
  store_->Commit(write->transaction, timeout,
                 [this, write, limit](const Result<store::CommitResult>& result) {
                   RecordOutcome(result.ec);
                   // A condition fails if the key already exists or if, for a cancellation, the job
                   // is gone.
                   if (result.ok()) {
                     if (result.value.committed) return FinishWrite(write, {});
                     const std::string& key = write->transaction.writes.front().key;
                     for (const store::Item& it : result.value.existing) {
                       if (it.key == key && it.revision != 0) return FinishWrite(write, {});
                     }
                     return FinishWrite(write, ResultCode::kNotFound);
                   }
                   if (result.ec != ResultCode::kStoreUnavailable) write->outcome_unknown = true;
                   const TimePoint until = write->outcome_unknown ? write->unknown_deadline : limit;
                   if (Now() + kRetryDelay < until) {
                     return timer_(kRetryDelay, [this, write] { TryCommit(write); });
                   }
                   FinishWrite(write, write->outcome_unknown ? ResultCode::kOutcomeUnknown
                                                             : ResultCode::kStoreUnavailable);
                 });
}

void JobService::Cancel(const std::string& id, TimePoint deadline,
                        std::function<void(std::error_code)> done) {
  if (!Admit("cancel", id)) return done(ResultCode::kStoreUnavailable);
  TryCancel(id, RetryDeadline(Now(), kMaxUnknownTime, deadline), deadline, std::move(done));
}

void JobService::TryCancel(const std::string& id, TimePoint retry_deadline, TimePoint deadline,
                           std::function<void(std::error_code)> done) {
  store_->Get(JobKey(id), [this, id, retry_deadline, deadline,
                           done = std::move(done)](const Result<store::Item>& item) {
    if (!item.ok()) {
      return RetryRead<int>(
          retry_deadline, item.ec,
          [this, id, retry_deadline, deadline, done] {
            TryCancel(id, retry_deadline, deadline, done);
          },
          [done](const Result<int>& result) { done(result.ec); });
    }
    if (item.value.revision == 0) return done(ResultCode::kNotFound);
    store::Transaction cancel;
    cancel.conditions = {{JobKey(id), item.value.revision}, {CancelKey(id), 0}};
    cancel.writes = {{CancelKey(id), "1", 0}};
    StartWrite("cancel", id, std::move(cancel), deadline, done);
  });
}

}  // namespace pomelopond::entry
