// The part of JobService that creates jobs.
#include <cstdlib>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "dispatch/job_memory.h"
#include "entry/internal/job_service_retries.h"
#include "entry/internal/pending_write.h"
#include "entry/job_service.h"
#include "entry/keys.h"
#include "entry/write_verdict.h"
#include "jobs/job_size.h"

namespace pomelopond::entry {
namespace {

// The store carries out a write that it does not answer within this time, or never.
constexpr Duration kLongestLateWrite = std::chrono::seconds(60);

}  // namespace

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

}  // namespace pomelopond::entry
