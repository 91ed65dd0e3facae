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
#include "entry/prefix_feed.h"
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
  struct Change;
  // True when the request may call the store; otherwise notes that it is refused.
  bool Admit(const char* request, const std::string& id);
  // Notes whether the store answered.
  void Note(std::error_code ec);
  // Writes the transaction until its fate is known or the deadline is near.
  void Begin(const char* name, const std::string& job, store::Transaction transaction,
             TimePoint deadline, std::function<void(std::error_code)> done);
  void TryCommit(const std::shared_ptr<Change>& change);
  void FinishChange(const std::shared_ptr<Change>& change, std::error_code ec);
  template <class T>
  void RetryRead(TimePoint give_up, std::error_code ec, std::function<void()> again,
                 std::function<void(Result<T>)> done);
  void TryGetState(const std::string& id, TimePoint give_up,
                   std::function<void(Result<jobs::JobState>)> done);
  void TryGetAccepted(const std::string& id, TimePoint give_up,
                      std::function<void(Result<jobs::JobState>)> done);
  void TryCancel(const std::string& id, TimePoint give_up, TimePoint deadline,
                 std::function<void(std::error_code)> done);
  void TryCountWaiting(const std::string& queue, TimePoint give_up,
                       std::function<void(Result<int>)> done);

  store::KeyStore* const store_;
  const Timer timer_;
  metrics::Registry* const metrics_;
  StoreHealth* const health_;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_JOB_SERVICE_H_
