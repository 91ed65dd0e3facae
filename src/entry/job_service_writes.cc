// The part of JobService that writes: jobs that callers submit and cancel.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "dispatch/job_memory.h"
#include "entry/internal/job_service_retries.h"
#include "entry/job_service.h"
#include "entry/keys.h"
#include "entry/write_verdict.h"
#include "jobs/job_size.h"

namespace pomelopond::entry {
namespace {

// Maximum time to retry a refused commit. A store that refuses calls for this long is unlikely to
// accept one before the caller's deadline.
constexpr Duration kMaxRefusedTime = std::chrono::milliseconds(300);
constexpr Duration kMaxCommitTimeout = std::chrono::milliseconds(800);
// The store carries out a write that it does not answer within this time, or never.
constexpr Duration kLongestLateWrite = std::chrono::seconds(60);

}  // namespace

// The write of one key, which is retried until its outcome is known.
struct JobService::PendingWrite {
  const char* name = "";
  std::string job;
  store::Transaction transaction;
  // What a failed condition means, given the items of the conditions' keys.
  std::function<WriteVerdict(const ExistingItems&)> resolve;
  // Makes a creation name another revision of CancelledKey. Unset for other writes.
  std::function<void(PendingWrite*, int64_t)> rename;
  TimePoint began;
  TimePoint refused_deadline;    // end of the retries while the store refuses the commit
  TimePoint unknown_deadline;    // end of the retries once a response was lost
  bool outcome_unknown = false;  // an earlier attempt may still take effect
  std::function<void(std::error_code)> done;
};

void JobService::Submit(const jobs::Job& job, TimePoint deadline,
                        std::function<void(std::error_code)> done,
                        const std::function<void(Duration)>& retry_after) {
  const std::string fault = jobs::StorageError(job, options_.max_value_bytes);
  if (!fault.empty()) {
    Log(LogLevel::kInfo, "jobs", "too_large", {{"job", job.id}, {"error", fault}});
    return done(ResultCode::kTooLarge);
  }
  const int64_t most = options_.job_memory_bytes();
  const int64_t bytes = dispatch::MaxMemoryBytes(job, options_.max_value_bytes);
  if (!Admit("submit", job.id)) return done(ResultCode::kStoreUnavailable);
  // The smallest memory of all hosts may have been larger when the job was accepted.
  if (most > 0 && bytes > most) {
    return RefuseUnlessAccepted(job.id, ResultCode::kTooLarge, done, done);
  }
  if (options_.admission_control) {
    const Admission admission = forecasts_.Admit(job, Now());
    if (!admission.accepted) return RefuseAsUseless(job, admission, deadline, done, retry_after);
  }
  Create(job, deadline, std::move(done));
}

void JobService::Create(const jobs::Job& job, TimePoint deadline,
                        std::function<void(std::error_code)> done) {
  const int64_t most = options_.job_memory_bytes();
  const int64_t bytes = dispatch::MaxMemoryBytes(job, options_.max_value_bytes);
  if (bytes > most / dispatch::kSmallJobsInMemory && most > 0) {
    return SubmitLarge(job, RetryDeadline(Now(), kMaxUnknownTime, deadline), deadline, done);
  }
  StartWrite(CreationOf(job, std::nullopt), deadline, std::move(done));
}

void JobService::RefuseAsUseless(const jobs::Job& job, const Admission& admission,
                                 TimePoint deadline,
                                 const std::function<void(std::error_code)>& done,
                                 const std::function<void(Duration)>& retry_after) {
  // A job that is accepted already must not be refused. If that cannot be read, the creation finds
  // out.
  RefuseUnlessAccepted(
      job.id, ResultCode::kOverloaded,
      [this, job, deadline, done](std::error_code) { Create(job, deadline, done); },
      [this, job, admission, done, retry_after](std::error_code ec) {
        if (ec == ResultCode::kOverloaded) {
          forecasts_.RecordRefusal(job, admission, Now());
          retry_after(admission.retry_after);
        }
        done(ec);
      });
}

// The key of a cancellation lasts for the time that the options tell at least.
bool JobService::IsRecentCancellation(int64_t revision) const {
  const std::optional<Duration> age = revisions_->MaxAge(revision, Now());
  return age && *age + kLongestLateWrite <= options_.cancellation_time;
}

JobService::PendingWrite JobService::CreationOf(const jobs::Job& job,
                                                std::optional<int64_t> large_jobs_revision) {
  PendingWrite create;
  create.name = "submit";
  create.job = job.id;
  create.transaction.writes = {{JobKey(job.id), jobs::Encode(job), 0}};
  NameConditions(&create, {0, large_jobs_revision});
  return create;
}

void JobService::NameConditions(PendingWrite* create, const CreationConditions& named) const {
  const std::string& id = create->job;
  create->transaction.conditions = {
      {JobKey(id), 0}, {CancelledKey(id), named.mark}, {kPoolFullKey, 0}};
  if (named.large_jobs)
    create->transaction.conditions.push_back({kLargeJobsKey, *named.large_jobs});
  create->resolve = [this, id, named](const ExistingItems& existing) {
    return CreationVerdict(id, existing, named,
                           [this](int64_t revision) { return IsRecentCancellation(revision); });
  };
  create->rename = [this, named](PendingWrite* write, int64_t mark) {
    NameConditions(write, {mark, named.large_jobs});
  };
}

void JobService::SubmitLarge(const jobs::Job& job, TimePoint retry_deadline, TimePoint deadline,
                             const std::function<void(std::error_code)>& done) {
  const auto again = [this, job, retry_deadline, deadline, done](std::error_code ec) {
    RetryRead<int>(
        retry_deadline, ec,
        [this, job, retry_deadline, deadline, done] {
          SubmitLarge(job, retry_deadline, deadline, done);
        },
        [done](const Result<int>& result) { done(result.ec); });
  };
  store_->Get(kLargeJobsKey, [this, job, deadline, again, done](const Result<store::Item>& item) {
    RecordOutcome(item.ec);
    if (!item.ok()) return again(item.ec);
    CreateLarge(job, item.value, deadline, again, done);
  });
}

void JobService::CreateLarge(const jobs::Job& job, const store::Item& large_jobs,
                             TimePoint deadline, const std::function<void(std::error_code)>& again,
                             const std::function<void(std::error_code)>& done) {
  store_->Get(
      kWaitingKey, [this, job, large_jobs, deadline, again, done](const Result<store::Item>& item) {
        if (!item.ok()) return again(item.ec);
        dispatch::WaitingCounts sum;
        if (item.value.revision != 0) {
          const auto stored = dispatch::DecodeWaitingCounts(item.value.value);
          if (!stored.ok()) return done(stored.ec);
          sum = stored.value;
        }
        // The owner's sum takes in the jobs up to its revision. An earlier sum may lack large jobs.
        const bool all_in_sum = sum.jobs_revision >= large_jobs.revision;
        const int64_t others = all_in_sum ? 0 : std::strtoll(large_jobs.value.c_str(), nullptr, 10);
        const int64_t bytes = others + dispatch::MaxMemoryBytes(job, options_.max_value_bytes);
        if (sum.job_bytes + bytes > options_.job_memory_bytes()) {
          return RefuseUnlessAccepted(job.id, ResultCode::kPoolFull, again, done);
        }
        PendingWrite create = CreationOf(job, large_jobs.revision);
        create.transaction.writes.push_back({kLargeJobsKey, std::to_string(bytes), 0});
        StartWrite(std::move(create), deadline, [again, done](std::error_code ec) {
          // Another large job came first.
          if (ec == ResultCode::kStoreCompareFailed) return again(ec);
          done(ec);
        });
      });
}

void JobService::RefuseUnlessAccepted(const std::string& id, ResultCode code,
                                      const std::function<void(std::error_code)>& again,
                                      const std::function<void(std::error_code)>& done) {
  store_->Get(JobKey(id), [id, code, again, done](const Result<store::Item>& item) {
    if (!item.ok()) return again(item.ec);
    if (item.value.revision != 0) return done({});
    Log(LogLevel::kInfo, "jobs", "refused",
        {{"request", "submit"}, {"id", id}, {"reason", ResultName(code)}});
    done(code);
  });
}

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

void JobService::Cancel(const std::string& id, TimePoint deadline,
                        const std::function<void(std::error_code)>& done) {
  if (!Admit("cancel", id)) return done(ResultCode::kStoreUnavailable);
  TryCancel(id, RetryDeadline(Now(), kMaxUnknownTime, deadline), deadline, done);
}

void JobService::TryCancel(const std::string& id, TimePoint retry_deadline, TimePoint deadline,
                           const std::function<void(std::error_code)>& done) {
  const auto again = [this, id, retry_deadline, deadline, done](std::error_code ec) {
    RetryRead<int>(
        retry_deadline, ec,
        [this, id, retry_deadline, deadline, done] {
          TryCancel(id, retry_deadline, deadline, done);
        },
        [done](const Result<int>& result) { done(result.ec); });
  };
  store_->Get(JobKey(id), [this, id, deadline, again, done](const Result<store::Item>& item) {
    if (!item.ok()) return again(item.ec);
    if (item.value.revision == 0) return CancelUnknown(id, deadline, again, done);
    PendingWrite cancel;
    cancel.name = "cancel";
    cancel.job = id;
    cancel.transaction.conditions = {{JobKey(id), item.value.revision}, {CancelKey(id), 0}};
    cancel.transaction.writes = {{CancelKey(id), "1", 0}};
    cancel.resolve = [id](const ExistingItems& existing) {
      return CancellationVerdict(id, existing);
    };
    StartWrite(std::move(cancel), deadline, [again, done](std::error_code ec) {
      // The job has been removed in the meantime.
      if (ec == ResultCode::kStoreCompareFailed) return again(ec);
      done(ec);
    });
  });
}

// The caller is told that no such job exists, so a creation that was sent before must not take
// effect afterwards. It may be held by a host that is frozen, or by the store.
void JobService::CancelUnknown(const std::string& id, TimePoint deadline,
                               const std::function<void(std::error_code)>& again,
                               const std::function<void(std::error_code)>& done) {
  cancellation_lease_.Get(Now(), [this, id, deadline, again, done](const Result<int64_t>& lease) {
    RecordOutcome(lease.ec);
    if (!lease.ok()) return again(lease.ec);
    PendingWrite forbid;
    forbid.name = "cancel_unknown";
    forbid.job = id;
    // Written again if it exists, so that it lasts from the last cancellation on.
    forbid.transaction.conditions = {{JobKey(id), 0}};
    forbid.transaction.writes = {{CancelledKey(id), kCancelledMark, lease.value}};
    // The job exists by now, and `again` reads it.
    forbid.resolve = [](const ExistingItems&) {
      return WriteVerdict{ResultCode::kStoreCompareFailed, true, std::nullopt};
    };
    StartWrite(std::move(forbid), deadline,
               [this, lease = lease.value, again, done](std::error_code ec) {
                 if (!ec) return done(ResultCode::kNotFound);
                 if (ec != ResultCode::kStoreCompareFailed) return done(ec);
                 // The job exists by now, or the lease has ended.
                 cancellation_lease_.Drop(lease);
                 again(ec);
               });
  });
}

}  // namespace pomelopond::entry
