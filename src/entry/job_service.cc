#include "entry/job_service.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "dispatch/dispatcher.h"
#include "entry/keys.h"

namespace pomelopond::entry {
namespace {

constexpr Duration kRetryPause = std::chrono::milliseconds(50);
// A store that refuses calls for this long will hardly take one within the caller's time.
constexpr Duration kRefusedLimit = std::chrono::milliseconds(300);
// A change whose outcome is not known is asked about for this long.
constexpr Duration kUnknownLimit = std::chrono::milliseconds(1500);
// Left of the caller's time for the answer to reach it.
constexpr Duration kAnswerTime = std::chrono::milliseconds(150);
constexpr Duration kMaxCommitTime = std::chrono::milliseconds(800);

TimePoint GiveUpAt(TimePoint now, Duration limit, TimePoint deadline) {
  return std::min(now + limit, deadline - kAnswerTime);
}

}  // namespace

// One key that must come to exist, written until its fate is known.
struct JobService::Change {
  const char* name = "";
  std::string job;
  store::Transaction transaction;
  TimePoint began;
  TimePoint refused_limit;  // gives up on refusals
  TimePoint unknown_limit;  // gives up on lost answers
  bool uncertain = false;   // an earlier try may still take effect
  std::function<void(std::error_code)> done;
};

JobService::JobService(store::KeyStore* store, Timer timer, metrics::Registry* metrics,
                       StoreHealth* health)
    : store_(store), timer_(std::move(timer)), metrics_(metrics), health_(health) {}

bool JobService::Admit(const char* request, const std::string& id) {
  if (health_->MayCall(Now())) return true;
  metrics_->Count(metrics::Labelled("refused_total", "reason", "store_away"));
  Log(LogLevel::kInfo, "jobs", "refused",
      {{"request", request}, {"id", id}, {"reason", "store_away"}});
  return false;
}

void JobService::Note(std::error_code ec) {
  if (ec) return health_->OnFailure();
  health_->OnAnswer();
}

void JobService::Submit(const jobs::Job& job, TimePoint deadline,
                        std::function<void(std::error_code)> done) {
  if (!Admit("submit", job.id)) return done(ResultCode::kStoreUnavailable);
  store::Transaction create;
  create.conditions = {{JobKey(job.id), 0}};
  create.writes = {{JobKey(job.id), jobs::Encode(job), 0}};
  Begin("submit", job.id, std::move(create), deadline, std::move(done));
}

void JobService::Begin(const char* name, const std::string& job, store::Transaction transaction,
                       TimePoint deadline, std::function<void(std::error_code)> done) {
  const auto change = std::make_shared<Change>();
  change->name = name;
  change->job = job;
  change->transaction = std::move(transaction);
  change->began = Now();
  change->refused_limit = GiveUpAt(change->began, kRefusedLimit, deadline);
  change->unknown_limit = GiveUpAt(change->began, kUnknownLimit, deadline);
  change->done = std::move(done);
  TryCommit(change);
}

void JobService::FinishChange(const std::shared_ptr<Change>& change, std::error_code ec) {
  const TimePoint now = Now();
  metrics_->Count(metrics::Labelled(std::string(change->name) + "_total", "result",
                                    ResultName(static_cast<ResultCode>(ec.value()))));
  metrics_->Observe(std::string(change->name) + "_time", now - change->began);
  Log(LogLevel::kInfo, "jobs", change->name,
      {{"job", change->job},
       {"result", ResultName(static_cast<ResultCode>(ec.value()))},
       {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - change->began).count()}});
  change->done(ec);
}

void JobService::TryCommit(const std::shared_ptr<Change>& change) {
  const TimePoint limit = change->uncertain ? change->unknown_limit : change->refused_limit;
  const Duration timeout =
      std::clamp<Duration>(change->unknown_limit - Now(), kRetryPause, kMaxCommitTime);
  store_->Commit(change->transaction, timeout,
                 [this, change, limit](const Result<store::CommitResult>& result) {
                   Note(result.ec);
                   // A failed condition means that the key exists already.
                   if (result.ok()) {
                     if (result.value.committed) return FinishChange(change, {});
                     const std::string& key = change->transaction.writes.front().key;
                     for (const store::Item& it : result.value.existing) {
                       if (it.key == key && it.revision != 0) return FinishChange(change, {});
                     }
                     return FinishChange(change, ResultCode::kNotFound);
                   }
                   if (result.ec != ResultCode::kStoreUnavailable) change->uncertain = true;
                   const TimePoint until = change->uncertain ? change->unknown_limit : limit;
                   if (Now() + kRetryPause < until) {
                     return timer_(kRetryPause, [this, change] { TryCommit(change); });
                   }
                   FinishChange(change, change->uncertain ? ResultCode::kOutcomeUnknown
                                                          : ResultCode::kStoreUnavailable);
                 });
}

template <class T>
void JobService::RetryRead(TimePoint give_up, std::error_code ec, std::function<void()> again,
                           std::function<void(Result<T>)> done) {
  if (Now() + kRetryPause < give_up) return timer_(kRetryPause, std::move(again));
  metrics_->Count(metrics::Labelled("reads_failed_total", "result",
                                    ResultName(static_cast<ResultCode>(ec.value()))));
  done({ResultCode::kStoreUnavailable, {}});
}

void JobService::GetState(const std::string& id, TimePoint deadline,
                          std::function<void(Result<jobs::JobState>)> done) {
  if (!Admit("state", id)) return done({ResultCode::kStoreUnavailable, {}});
  TryGetState(id, GiveUpAt(Now(), kUnknownLimit, deadline), std::move(done));
}

void JobService::TryGetState(const std::string& id, TimePoint give_up,
                             std::function<void(Result<jobs::JobState>)> done) {
  store_->Get(ProgressKey(id), [this, id, give_up,
                                done = std::move(done)](const Result<store::Item>& item) {
    Note(item.ec);
    if (!item.ok()) {
      return RetryRead<jobs::JobState>(
          give_up, item.ec, [this, id, give_up, done] { TryGetState(id, give_up, done); }, done);
    }
    if (item.value.revision == 0) return TryGetAccepted(id, give_up, done);
    const Result<jobs::JobProgress> progress = jobs::DecodeProgress(item.value.value);
    if (!progress.ok()) {
      Log(LogLevel::kError, "jobs", "bad_progress", {{"job", id}});
      return done({progress.ec, {}});
    }
    done({{}, progress.value.state});
  });
}

void JobService::TryGetAccepted(const std::string& id, TimePoint give_up,
                                std::function<void(Result<jobs::JobState>)> done) {
  store_->List(JobKey(id), {},
               [this, id, give_up, done = std::move(done)](const Result<store::Page>& page) {
                 if (!page.ok()) {
                   return RetryRead<jobs::JobState>(
                       give_up, page.ec,
                       [this, id, give_up, done] { TryGetState(id, give_up, done); }, done);
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
  TryCancel(id, GiveUpAt(Now(), kUnknownLimit, deadline), deadline, std::move(done));
}

void JobService::TryCancel(const std::string& id, TimePoint give_up, TimePoint deadline,
                           std::function<void(std::error_code)> done) {
  store_->Get(JobKey(id), [this, id, give_up, deadline,
                           done = std::move(done)](const Result<store::Item>& item) {
    if (!item.ok()) {
      return RetryRead<int>(
          give_up, item.ec,
          [this, id, give_up, deadline, done] { TryCancel(id, give_up, deadline, done); },
          [done](const Result<int>& result) { done(result.ec); });
    }
    if (item.value.revision == 0) return done(ResultCode::kNotFound);
    store::Transaction cancel;
    cancel.conditions = {{JobKey(id), item.value.revision}, {CancelKey(id), 0}};
    cancel.writes = {{CancelKey(id), "1", 0}};
    Begin("cancel", id, std::move(cancel), deadline, done);
  });
}

void JobService::CountWaiting(const std::string& queue, TimePoint deadline,
                              std::function<void(Result<int>)> done) {
  if (!Admit("count", queue)) return done({ResultCode::kStoreUnavailable, {}});
  TryCountWaiting(queue, GiveUpAt(Now(), kUnknownLimit, deadline), std::move(done));
}

void JobService::TryCountWaiting(const std::string& queue, TimePoint give_up,
                                 std::function<void(Result<int>)> done) {
  store_->Get(
      kWaitingKey, [this, queue, give_up, done = std::move(done)](const Result<store::Item>& item) {
        if (!item.ok()) {
          return RetryRead<int>(
              give_up, item.ec,
              [this, queue, give_up, done] { TryCountWaiting(queue, give_up, done); }, done);
        }
        if (item.value.revision == 0) return done({{}, 0});
        const auto counts = dispatch::DecodeWaiting(item.value.value);
        if (!counts.ok()) return done({counts.ec, {}});
        const auto it = counts.value.find(queue);
        done({{}, it == counts.value.end() ? 0 : it->second});
      });
}

}  // namespace pomelopond::entry
