#include "entry/job_service.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "dispatch/dispatcher.h"
#include "entry/internal/job_service_retries.h"
#include "entry/keys.h"

namespace pomelopond::entry {
namespace {

// Callers may be told a count that is this old.
constexpr Duration kMaxCountAge = std::chrono::seconds(2);
// The owner renews the counts several times in kMaxCountAge. Counts that are outdated and stay so
// for this time have no owner that renews them.
constexpr Duration kOutdatedRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxOutdatedTime = std::chrono::milliseconds(600);

}  // namespace

// A read of the waiting counts, which is repeated until they are recent.
struct JobService::PendingCount {
  std::string queue;
  TimePoint failed_deadline;    // end of the retries while the read fails
  TimePoint outdated_deadline;  // end of the retries while the counts are outdated
  std::function<void(Result<int>)> done;
};

JobService::JobService(const JobServiceOptions& options, store::KeyStore* store, Timer timer,
                       metrics::Registry* metrics, StoreHealth* health,
                       const RevisionHistory* revisions)
    : options_(options),
      store_(store),
      timer_(std::move(timer)),
      metrics_(metrics),
      health_(health),
      revisions_(revisions),
      cancellation_lease_(store, options.cancellation_time),
      forecasts_(store, revisions, metrics) {}

bool JobService::Admit(const char* request, const std::string& id) {
  if (health_->AllowRequest(Now())) return true;
  metrics_->Count(metrics::Labelled("refused_total", "reason", "store_away"));
  Log(LogLevel::kInfo, "jobs", "refused",
      {{"request", request}, {"id", id}, {"reason", "store_away"}});
  return false;
}

void JobService::RecordOutcome(std::error_code ec) {
  if (ec && ec != ResultCode::kStoreRejected) return health_->OnFailure();
  health_->OnSuccess();
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
