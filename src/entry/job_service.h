// JobService accepts, queries and cancels jobs on any entry host. All state is kept in the store,
// so that a job that is submitted again on another host is found to be accepted already.
#ifndef POMELOPOND_ENTRY_JOB_SERVICE_H_
#define POMELOPOND_ENTRY_JOB_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/result.h"
#include "base/result_code.h"
#include "base/time.h"
#include "dispatch/waiting_counts.h"
#include "entry/forecast_reader.h"
#include "entry/prefix_watcher.h"
#include "entry/revision_history.h"
#include "entry/shared_lease.h"
#include "entry/store_health.h"
#include "entry/write_verdict.h"
#include "jobs/progress.h"
#include "metrics/registry.h"
#include "store/key_store.h"

namespace pomelopond::entry {

struct JobServiceOptions {
  // Time for which the cancellation of an unknown job is remembered. A creation of the job that the
  // store carries out within it fails.
  Duration cancellation_time = std::chrono::seconds(120);
  // Largest value that the store holds.
  int64_t max_value_bytes = 1048576;
  // Returns the memory that all jobs together may take in an owner, in bytes; 0 if it is unknown.
  std::function<int64_t()> job_memory_bytes = [] { return int64_t{0}; };
  // Jobs that would complete too late to be of use are refused (entry/admission.h).
  bool admission_control = false;
};

class JobService {
 public:
  JobService(const JobServiceOptions& options, store::KeyStore* store, Timer timer,
             metrics::Registry* metrics, StoreHealth* health, const RevisionHistory* revisions);

  // Calls `done` with one of these results:
  // - no error: the job is durable, written by this call or an earlier one;
  // - kTooLarge: the store cannot hold the job and its progress, or no owner can;
  // - kPoolFull: the accepted jobs leave no room for it now;
  // - kOverloaded: it would complete too late to be of use; `retry_after` tells when to try again;
  // - kCancelled: the job was cancelled before; it is not durable and will not be;
  // - kStoreUnavailable: the job is not durable, and this call will not make it durable;
  // - kOutcomeUnknown: the job may be durable now or become durable later.
  void Submit(
      const jobs::Job& job, TimePoint deadline, std::function<void(std::error_code)> done,
      const std::function<void(Duration)>& retry_after = [](Duration) {});

  // Calls `done` with the state of the job, with kNotFound if the job does not exist, or with
  // kStoreUnavailable if the store cannot be read now.
  void GetState(const std::string& id, TimePoint deadline,
                std::function<void(Result<jobs::JobState>)> done);

  // Calls `done` with a result as described for Submit(), or with kNotFound if the job does not
  // exist. In that case a creation that is still under way, on any host, fails with kCancelled.
  void Cancel(const std::string& id, TimePoint deadline,
              const std::function<void(std::error_code)>& done);

  // Calls `done` with the number of accepted jobs of the queue of which no task is known to have
  // started. The number is at most 2 s old; kOutdated if no such number is to be had.
  void CountWaiting(const std::string& queue, TimePoint deadline,
                    std::function<void(Result<int>)> done);

 private:
  struct PendingWrite;
  struct PendingCount;
  // Returns true if the request may call the store. Otherwise counts and logs the refusal.
  bool Admit(const char* request, const std::string& id);
  // Updates the store's health with the outcome of a call.
  void RecordOutcome(std::error_code ec);
  // Accepts a job that is not refused.
  void Create(const jobs::Job& job, TimePoint deadline, std::function<void(std::error_code)> done);
  // Refuses a job that would be of no use, unless it is accepted already.
  void RefuseAsUseless(const jobs::Job& job, const Admission& admission, TimePoint deadline,
                       const std::function<void(std::error_code)>& done,
                       const std::function<void(Duration)>& retry_after);
  // `large_jobs_revision` is set for a large job.
  PendingWrite CreationOf(const jobs::Job& job, std::optional<int64_t> large_jobs_revision);
  void NameConditions(PendingWrite* create, const CreationConditions& named) const;
  bool IsRecentCancellation(int64_t revision) const;
  // Commits the transaction, with retries until its outcome is known or the deadline is near.
  void StartWrite(PendingWrite write, TimePoint deadline,
                  std::function<void(std::error_code)> done);
  void TryCommit(const std::shared_ptr<PendingWrite>& write);
  void OnCommit(const std::shared_ptr<PendingWrite>& write,
                const Result<store::CommitResult>& result);
  void OnVerdict(const std::shared_ptr<PendingWrite>& write, const WriteVerdict& verdict,
                 const ExistingItems& existing);
  void Revoke(const std::shared_ptr<PendingWrite>& write, std::error_code refusal, int64_t mark);
  void RetryCommit(const std::shared_ptr<PendingWrite>& write);
  void FinishWrite(const std::shared_ptr<PendingWrite>& write, std::error_code ec);
  template <class T>
  void RetryRead(TimePoint retry_deadline, std::error_code ec, std::function<void()> again,
                 std::function<void(Result<T>)> done);
  void TryGetState(const std::string& id, TimePoint retry_deadline,
                   std::function<void(Result<jobs::JobState>)> done);
  void TryGetStateWithoutProgress(const std::string& id, TimePoint retry_deadline,
                                  std::function<void(Result<jobs::JobState>)> done);
  // Accepts a job if the owner's sum, and the large jobs that may not be in it yet, leave room for
  // it.
  void SubmitLarge(const jobs::Job& job, TimePoint retry_deadline, TimePoint deadline,
                   const std::function<void(std::error_code)>& done);
  void CreateLarge(const jobs::Job& job, const store::Item& large_jobs, TimePoint deadline,
                   const std::function<void(std::error_code)>& again,
                   const std::function<void(std::error_code)>& done);
  // Calls `done` with the code, or without an error if the job is already accepted.
  void RefuseUnlessAccepted(const std::string& id, ResultCode code,
                            const std::function<void(std::error_code)>& again,
                            const std::function<void(std::error_code)>& done);
  void TryCancel(const std::string& id, TimePoint retry_deadline, TimePoint deadline,
                 const std::function<void(std::error_code)>& done);
  // Forbids the creation of a job that does not exist. Calls `again` with the error if the store
  // cannot be asked, or if the job exists by now.
  void CancelUnknown(const std::string& id, TimePoint deadline,
                     const std::function<void(std::error_code)>& again,
                     const std::function<void(std::error_code)>& done);
  void TryCountWaiting(const std::shared_ptr<PendingCount>& count);
  void FinishCount(const PendingCount& count, const dispatch::WaitingCounts& counts, Duration age);

  const JobServiceOptions options_;
  store::KeyStore* const store_;
  const Timer timer_;
  metrics::Registry* const metrics_;
  StoreHealth* const health_;
  const RevisionHistory* const revisions_;
  SharedLease cancellation_lease_;
  ForecastReader forecasts_;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_JOB_SERVICE_H_
