// Competes for the ownership of the pool and, while it is the owner, runs the dispatcher: loads the
// durable state, follows jobs and workers, sends orders and writes commits.
#ifndef POMELOPOND_ENTRY_POOL_OWNER_H_
#define POMELOPOND_ENTRY_POOL_OWNER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/time.h"
#include "dispatch/dispatcher.h"
#include "dispatch/worker_calls.h"
#include "entry/prefix_watcher.h"
#include "entry/term.h"
#include "metrics/registry.h"
#include "store/key_store.h"

namespace pomelopond::entry {

struct OwnerOptions {
  std::string process;        // names this process, unlike any other
  std::string worker_prefix;  // keys that workers register under
  // The worker that a key registers; an error for an entry that names none.
  std::function<Result<dispatch::WorkerInfo>(const store::Item&)> read_worker;
  dispatch::DispatchLimits limits;
  dispatch::PermitCalls* permits = nullptr;  // null: no queue needs permits
  Duration lease = std::chrono::seconds(2);  // of the ownership, without renewal
  // An owner that has not loaded its state by then gives up, so that another host may try.
  Duration load_timeout = std::chrono::seconds(10);
};

// All members but the atomics belong to the loop's thread.
class PoolOwner {
 public:
  PoolOwner(OwnerOptions options, store::KeyStore* store, dispatch::WorkerCalls* workers,
            Timer timer, metrics::Registry* metrics);
  ~PoolOwner();

  void Start();
  // Gives the ownership up, so that another host takes over at once, and ends.
  void Stop();

  // Replaces the limits while the owner runs. Thread-safe after Start().
  void SetLimits(const dispatch::DispatchLimits& limits);

  bool IsOwner() const { return is_owner_.load(); }

 private:
  // Follows the owner's key.
  void OnOwnerKey(bool exists);
  void Campaign();
  void TakeOver(const Term& current, int64_t revision, int64_t lease, TimePoint began);
  void ResolveTakeOver(const Term& mine, int64_t lease, TimePoint began);
  void BecomeOwner(const Term& mine, int64_t revision, int64_t lease, TimePoint began);
  void StepDown(const char* reason);

  // Loading.
  void Load();
  void LoadProgress(const std::string& after);
  void StartWatchers();

  // Owning.
  void ApplyJobItems(const std::vector<store::Item>& items, bool inherited);
  void ApplyWorkerList(const std::vector<store::Item>& items);
  void ApplyWorkerEntry(const store::Item& item);
  std::string WorkerIdOf(const std::string& key) const;
  void RenewOwnerLease();
  void RestoreOwnerKey();
  void Tick();
  void LogSummary(TimePoint now);
  void Send(const dispatch::Orders& orders);
  void SendPermitOrder(const dispatch::PermitOrder& order);
  void WriteCommit();
  // Asks the store whether this process is still the owner, for jobs that are newer than the last
  // commit.
  void VerifyTermForNewJobs();
  void OnTermRead(const Result<store::Item>& item, int64_t revision);
  void OnCommitAnswer(const Result<store::CommitResult>& result, TimePoint began);
  void FinishCommit(int64_t revision, TimePoint began);
  void After(Duration delay, std::function<void()> work);
  // Runs on the loop's thread, unless the ownership has changed since.
  template <class F>
  std::function<void()> BindToGeneration(F work);

  OwnerOptions options_;
  store::KeyStore* const store_;
  dispatch::WorkerCalls* const worker_calls_;
  const Timer timer_;
  metrics::Registry* const metrics_;
  std::atomic<bool> is_owner_{false};
  std::atomic<bool> stopping_{false};

  bool campaigning_ = false;
  bool owner_exists_ = true;
  uint64_t generation_ = 0;  // rises when the ownership is won or lost
  Term term_;
  int64_t term_revision_ = 0;
  int64_t lease_ = 0;
  bool lease_restoring_ = false;
  TimePoint owner_since_;
  std::map<std::string, jobs::JobProgress> progress_;
  std::optional<dispatch::Dispatcher> dispatcher_;
  std::optional<dispatch::Commit> commit_;  // open
  std::shared_ptr<PrefixWatcher> owner_key_watcher_;
  std::shared_ptr<PrefixWatcher> job_watcher_;
  std::shared_ptr<PrefixWatcher> worker_watcher_;
  bool jobs_loaded_ = false;
  TimePoint next_commit_;
  TimePoint next_term_read_;        // the latest possible time while a read is open
  TimePoint last_ownership_proof_;  // the last time at which this process was the owner for certain
  TimePoint next_summary_;
  std::unique_ptr<EventLoop> loop_;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_POOL_OWNER_H_
