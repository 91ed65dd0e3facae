// Accepts, shows and cancels jobs on any entry host. All of it lives in the store, so that a
// repeated acceptance at another host meets the first one.
#ifndef POMELOPOND_ENTRY_JOB_SERVICE_H_
#define POMELOPOND_ENTRY_JOB_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "entry/prefix_watcher.h"
#include "entry/store_health.h"
#include "jobs/progress.h"
#include "metrics/registry.h"
#include "store/key_store.h"

namespace pomelopond::entry {

class JobService {
 public:
  JobService(store::KeyStore* store, Timer timer, metrics::Registry* metrics, StoreHealth* health);

  // Clear: the job is durable, by this call or an earlier one. kStoreUnavailable: it is not, and
  // this call will not make it so. kOutcomeUnknown: it may be or become durable.
  void Submit(const jobs::Job& job, TimePoint deadline, std::function<void(std::error_code)> done);

  // kNotFound: there is no such job. kStoreUnavailable: the store cannot tell now.
  void GetState(const std::string& id, TimePoint deadline,
                std::function<void(Result<jobs::JobState>)> done);

  // As Submit(), and kNotFound.
  void Cancel(const std::string& id, TimePoint deadline, std::function<void(std::error_code)> done);

  // The number of accepted jobs of the queue of which no task has started, at most 2 s old.
  void CountWaiting(const std::string& queue, TimePoint deadline,
                    std::function<void(Result<int>)> done);

 private:
  struct PendingWrite;
  // True when the request may call the store; otherwise notes that it is refused.
  bool Admit(const char* request, const std::string& id);
  // Notes whether the store answered.
  void RecordOutcome(std::error_code ec);
  // Writes the transaction until its fate is known or the deadline is near.
  void StartWrite(const char* name, const std::string& job, store::Transaction transaction,
                  TimePoint deadline, std::function<void(std::error_code)> done);
  void TryCommit(const std::shared_ptr<PendingWrite>& write);
  void FinishWrite(const std::shared_ptr<PendingWrite>& write, std::error_code ec);
  template <class T>
  void RetryRead(TimePoint retry_deadline, std::error_code ec, std::function<void()> again,
                 std::function<void(Result<T>)> done);
  void TryGetState(const std::string& id, TimePoint retry_deadline,
                   std::function<void(Result<jobs::JobState>)> done);
  void TryGetStateWithoutProgress(const std::string& id, TimePoint retry_deadline,
                                  std::function<void(Result<jobs::JobState>)> done);
  void TryCancel(const std::string& id, TimePoint retry_deadline, TimePoint deadline,
                 std::function<void(std::error_code)> done);
  void TryCountWaiting(const std::string& queue, TimePoint retry_deadline,
                       std::function<void(Result<int>)> done);

  store::KeyStore* const store_;
  const Timer timer_;
  metrics::Registry* const metrics_;
  StoreHealth* const health_;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_JOB_SERVICE_H_
