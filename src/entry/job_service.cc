#include "entry/job_service.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "dispatch/dispatcher.h"
#include "entry/keys.h"

namespace pomelopond::entry {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
// Maximum time to retry a refused commit. A store that refuses calls for this long is unlikely to
// accept one before the caller's deadline.
constexpr Duration kMaxRefusedTime = std::chrono::milliseconds(300);
// Maximum time to retry a commit whose outcome is unknown, or a read.
constexpr Duration kMaxUnknownTime = std::chrono::milliseconds(1500);
// Time before the caller's deadline that is reserved for sending the response to the caller.
constexpr Duration kResponseMargin = std::chrono::milliseconds(150);
// Callers may be told a count that is this old.
constexpr Duration kMaxCountAge = std::chrono::seconds(2);
// The owner renews the counts several times in kMaxCountAge. Counts that are outdated and stay so
// for this time have no owner that renews them.
constexpr Duration kOutdatedRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxOutdatedTime = std::chrono::milliseconds(600);
constexpr Duration kMaxCommitTimeout = std::chrono::milliseconds(800);

TimePoint RetryDeadline(TimePoint now, Duration limit, TimePoint deadline) {
  return std::min(now + limit, deadline - kResponseMargin);
}

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

// A read of the waiting counts, which is repeated until they are recent.
struct JobService::PendingCount {
  std::string queue;
  TimePoint failed_deadline;    // end of the retries while the read fails
  TimePoint outdated_deadline;  // end of the retries while the counts are outdated
  std::function<void(Result<int>)> done;
};

JobService::JobService(store::KeyStore* store, Timer timer, metrics::Registry* metrics,
                       StoreHealth* health, const RevisionHistory* revisions)
    : store_(store),
      timer_(std::move(timer)),
      metrics_(metrics),
      health_(health),
      revisions_(revisions) {}

bool JobService::Admit(const char* request, const std::string& id) {
  if (health_->AllowRequest(Now())) return true;
  metrics_->Count(metrics::Labelled("refused_total", "reason", "store_away"));
  Log(LogLevel::kInfo, "jobs", "refused",
      {{"request", request}, {"id", id}, {"reason", "store_away"}});
  return false;
}

void JobService::RecordOutcome(std::error_code ec) {
  if (ec) return health_->OnFailure();
  health_->OnSuccess();
}

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

template <class T>
void JobService::RetryRead(TimePoint retry_deadline, std::error_code ec,
                           std::function<void()> again, std::function<void(Result<T>)> done) {
  if (Now() + kRetryDelay < retry_deadline) return timer_(kRetryDelay, std::move(again));
  metrics_->Count(metrics::Labelled("reads_failed_total", "result",
                                    ResultName(static_cast<ResultCode>(ec.value()))));
  done({ResultCode::kStoreUnavailable, {}});
}

void JobService::GetState(const std::string& id, TimePoint deadline,
                          std::function<void(Result<jobs::JobState>)> done) {
  if (!Admit("state", id)) return done({ResultCode::kStoreUnavailable, {}});
  TryGetState(id, RetryDeadline(Now(), kMaxUnknownTime, deadline), std::move(done));
}

void JobService::TryGetState(const std::string& id, TimePoint retry_deadline,
                             std::function<void(Result<jobs::JobState>)> done) {
  store_->Get(ProgressKey(id), [this, id, retry_deadline,
                                done = std::move(done)](const Result<store::Item>& item) {
    RecordOutcome(item.ec);
    if (!item.ok()) {
      return RetryRead<jobs::JobState>(
          retry_deadline, item.ec,
          [this, id, retry_deadline, done] { TryGetState(id, retry_deadline, done); }, done);
    }
    if (item.value.revision == 0) return TryGetStateWithoutProgress(id, retry_deadline, done);
    const Result<jobs::JobProgress> progress = jobs::DecodeProgress(item.value.value);
    if (!progress.ok()) {
      Log(LogLevel::kError, "jobs", "bad_progress", {{"job", id}});
      return done({progress.ec, {}});
    }
    done({{}, progress.value.state});
  });
}

void JobService::TryGetStateWithoutProgress(const std::string& id, TimePoint retry_deadline,
                                            std::function<void(Result<jobs::JobState>)> done) {
  store_->List(JobKey(id), {},
               [this, id, retry_deadline, done = std::move(done)](const Result<store::Page>& page) {
                 if (!page.ok()) {
                   return RetryRead<jobs::JobState>(
                       retry_deadline, page.ec,
                       [this, id, retry_deadline, done] { TryGetState(id, retry_deadline, done); },
                       done);
                 }
                 bool accepted = false;
                 bool cancelled = false;
                 for (const store::Item& it : page.value.items) {
                   accepted = accepted || it.key == JobKey(id);
                   cancelled = cancelled || it.key == CancelKey(id);
                 }
                 if (!accepted) return done({ResultCode::kNotFound, {}});
                 done({{}, cancelled ? jobs::JobState::kCancelled : jobs::JobState::kPending});
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

void JobService::CountWaiting(const std::string& queue, TimePoint deadline,
                              std::function<void(Result<int>)> done) {
  if (!Admit("count", queue)) return done({ResultCode::kStoreUnavailable, {}});
  const auto count = std::make_shared<PendingCount>();
  count->queue = queue;
  count->failed_deadline = RetryDeadline(Now(), kMaxUnknownTime, deadline);
  count->outdated_deadline = RetryDeadline(Now(), kMaxOutdatedTime, deadline);
  count->done = std::move(done);
  TryCountWaiting(count);
}

void JobService::TryCountWaiting(const std::shared_ptr<PendingCount>& count) {
  store_->Get(kWaitingKey, [this, count](const Result<store::Item>& item) {
    const auto again = [this, count] { TryCountWaiting(count); };
    if (!item.ok()) return RetryRead<int>(count->failed_deadline, item.ec, again, count->done);
    // The key does not exist before the first owner of all writes it.
    dispatch::WaitingCounts counts;
    if (item.value.revision != 0) {
      const auto stored = dispatch::DecodeWaitingCounts(item.value.value);
      if (!stored.ok()) return count->done({stored.ec, {}});
      counts = stored.value;
    }
    const TimePoint now = Now();
    const std::optional<Duration> age = revisions_->MaxAge(counts.jobs_revision, now);
    if (age && *age <= kMaxCountAge) return FinishCount(*count, counts, *age);
    if (now + kOutdatedRetryDelay < count->outdated_deadline) {
      return timer_(kOutdatedRetryDelay, again);
    }
    metrics_->Count("outdated_counts_total");
    Log(LogLevel::kInfo, "jobs", "count_outdated",
        {{"queue", count->queue},
         {"written_at", item.value.revision},
         {"jobs_revision", counts.jobs_revision},
         {"age_ms", age ? Milliseconds(*age) : -1}});
    count->done({ResultCode::kOutdated, {}});
  });
}

void JobService::FinishCount(const PendingCount& count, const dispatch::WaitingCounts& counts,
                             Duration age) {
  const auto it = counts.by_queue.find(count.queue);
  const int waiting = it == counts.by_queue.end() ? 0 : it->second;
  Log(LogLevel::kInfo, "jobs", "count",
      {{"queue", count.queue},
       {"waiting", waiting},
       {"jobs_revision", counts.jobs_revision},
       {"age_ms", Milliseconds(age)}});
  count.done({{}, waiting});
}

}  // namespace pomelopond::entry
