// PoolOwner takes part in the election of the pool's owner. While this process is the owner, it
// runs the dispatcher: it loads the durable state, watches jobs and workers, sends orders to
// workers and writes commits to the store.
#ifndef POMELOPOND_ENTRY_POOL_OWNER_H_
#define POMELOPOND_ENTRY_POOL_OWNER_H_

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/event_loop.h"
#include "base/time.h"
#include "dispatch/dispatcher.h"
#include "dispatch/worker_calls.h"
#include "entry/candidate.h"
#include "entry/catalog_watcher.h"
#include "entry/prefix_watcher.h"
#include "entry/term.h"
#include "entry/turn_times.h"
#include "metrics/registry.h"
#include "store/key_store.h"

namespace pomelopond::entry {

struct OwnerOptions {
  std::string process;        // unique identity of this process
  std::string worker_prefix;  // prefix of the keys under which workers register
  // Decodes the worker that a key registers. Returns an error if the entry does not name a worker.
  std::function<Result<dispatch::WorkerInfo>(const store::Item&)> read_worker;
  dispatch::DispatchLimits limits;
  // Processor time of this host in thousandths of a core; 0: unknown.
  int64_t processor_milli = 0;
  // Returns what the operators have stored, as far as this host knows. Unset: nothing.
  std::function<CatalogView()> catalog;
  int64_t memory_bytes = 0;                  // memory that this process may take; 0: unknown
  double link_mbps = 0;                      // rate of this host's link, for the log; 0: unknown
  dispatch::PermitCalls* permits = nullptr;  // grants permits; null if no queue needs them
  Duration lease = std::chrono::seconds(2);  // time to live of the ownership, unless renewed
  // Maximum time to load the state. An owner that exceeds it steps down, so that another host can
  // try.
  Duration load_timeout = std::chrono::seconds(10);
};

// Only the thread of the event loop accesses the members, except for the atomic ones.
class PoolOwner {
 public:
  PoolOwner(OwnerOptions options, store::KeyStore* store, dispatch::WorkerCalls* workers,
            Timer timer, metrics::Registry* metrics);
  ~PoolOwner();

  void Start();
  // Gives up the ownership, so that another host can take over at once, and stops the event loop.
  void Stop();

  // Replaces the limits while the event loop runs. Thread-safe after Start().
  void SetLimits(const dispatch::DispatchLimits& limits);

  bool IsOwner() const { return is_owner_.load(); }
  // Memory that all jobs together may take in any owner, as far as known; 0: unknown. Thread-safe.
  int64_t JobMemoryBytes() const { return job_memory_bytes_.load(); }

 private:
  // What the watch of the jobs tells: a record, or that all up to a revision have been told.
  struct JobUpdate {
    std::optional<store::Item> item;
    bool inherited = false;  // the record was there when this process took over
    bool ends_list = false;  // all records of the first list precede this update
    int64_t seen_revision = 0;
  };

  // Called with the keys below kOwnerKey and with their changes.
  void OnOwnerKeys(const std::vector<store::Item>& items);
  void OnOwnerChanges(const std::vector<store::Change>& changes);
  // Called with kOwnerKey, if it exists. If it does not, an owner restores it and any other process
  // campaigns for the ownership.
  void OnOwnerKey(const std::optional<store::Item>& item);
  // Waits for a random time, then campaigns.
  void CampaignLater();
  void Campaign();
  // Returns true if this host now waits for faster ones that the term mentions.
  bool YieldToFaster(const Term& current);
  void TakeOver(const Term& current, int64_t revision, int64_t lease, TimePoint began);
  void ResolveTakeOver(const Term& mine, int64_t lease, TimePoint began);
  void BecomeOwner(const Term& mine, int64_t revision, int64_t lease, TimePoint began);
  void StepDown(const char* reason);

  // Handover to a much faster host.
  Candidate Self() const { return {options_.process, options_.processor_milli}; }
  void RequestOwnershipLater(const Candidate& owner);
  void RequestOwnership();
  void OnOwnershipRequest(const store::Item& item);

  // The smallest memory of all hosts: any host may have to hold the jobs.
  void OnSmallestMemory(const store::Item& item);
  void WriteSmallestMemory(int64_t revision);
  void ApplyLimits();

  // Loading of the stored state.
  void Load();
  void LoadLeaseBounds(const std::vector<dispatch::WorkerInUse>& workers);
  void LoadProgress(const std::string& after);
  void StartWatchers();

  // Forgets what is queued for a later turn of the event loop.
  void DropQueues();

  // Operation as the owner.
  void QueueJobItems(std::vector<store::Item> items, bool inherited);
  // Applies what is queued, a slice in each turn of the event loop.
  void ApplyJobUpdates();
  // Returns true if it has decoded a record.
  bool ApplyJobItem(const store::Item& item, bool inherited);
  jobs::JobProgress TakeProgress(const std::string& job);
  void ApplyWorkerList(const std::vector<store::Item>& items);
  void ApplyWorkerEntry(const store::Item& item);
  std::string WorkerIdOf(const std::string& key) const;
  void RenewOwnerLease();
  void RestoreOwnerKey();
  void GrantOwnerLease();
  void WriteOwnerKey(int64_t revision);
  void OnOwnerKeyWritten(const Result<store::CommitResult>& result);
  void Tick();
  void SetQueueWaits(const dispatch::PoolSummary& summary);
  void LogSummary(TimePoint now);
  // Passes the operators' catalog and evacuations on to the dispatcher.
  void ApplyCatalog(TimePoint now);
  void Send(const dispatch::Orders& orders);
  // Sends starts and stops that wait, a slice in each turn of the event loop.
  void SendWaitingOrders();
  void SendStart(const dispatch::StartOrder& order);
  void SendStop(const dispatch::StopOrder& order);
  void SendPermitOrder(const dispatch::PermitOrder& order);
  void WriteCommit();
  // Reads the term from the store to verify that this process is still the owner, for jobs that are
  // newer than its last commit.
  void VerifyTermForNewJobs();
  void OnTermRead(const Result<store::Item>& item, int64_t revision);
  // `number` is the one of the commit that the answer is for.
  void OnCommitAnswer(const Result<store::CommitResult>& result, int64_t number, TimePoint began);
  void RejectCommit();
  void FinishCommit(int64_t revision, TimePoint began);
  void After(Duration delay, std::function<void()> work);
  // Returns a function that calls `work` with its arguments on the thread of the event loop, unless
  // the ownership has changed since the call to BindToGeneration(). Copies of it share `work`,
  // which often holds an order.
  template <class F>
  auto BindToGeneration(F work) {
    return [this, generation = generation_,
            work = std::make_shared<F>(std::move(work))](auto&&... args) {
      loop_->Post([this, generation, work,
                   values = std::make_tuple(std::forward<decltype(args)>(args)...)] {
        if (generation != generation_) return;
        Measure(&turn_times_, OwnerWork::kAnswers, [&] { std::apply(*work, values); });
      });
    };
  }

  OwnerOptions options_;
  store::KeyStore* const store_;
  dispatch::WorkerCalls* const worker_calls_;
  const Timer timer_;
  metrics::Registry* const metrics_;
  std::atomic<bool> is_owner_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<int64_t> job_memory_bytes_{0};

  int64_t smallest_memory_ = 0;  // as stored; 0: unknown
  bool campaigning_ = false;
  bool has_yielded_ = false;  // in this campaign
  bool owner_exists_ = true;
  Candidate owner_;          // as last stored; not meaningful if `owner_exists_` is not set
  bool requesting_ = false;  // this host asks for the ownership, or will ask
  TimePoint no_request_before_;
  // A much faster host has asked for the ownership. This owner steps down after the commit that
  // tells of it, whose number is `handover_commit_`.
  bool handing_over_ = false;
  int64_t requested_milli_ = 0;  // processor time of that host
  std::optional<int64_t> handover_commit_;
  uint64_t generation_ = 0;  // incremented when the ownership is won or lost
  Term term_;
  int64_t term_revision_ = 0;
  int64_t lease_ = 0;
  bool lease_restoring_ = false;  // kOwnerKey is being written again
  TimePoint owner_since_;
  std::map<std::string, std::string> progress_;  // encoded, of jobs that are not loaded yet
  std::optional<dispatch::Dispatcher> dispatcher_;
  std::deque<JobUpdate> job_updates_;  // not applied yet, in the order of the store
  bool applying_jobs_ = false;         // a turn of the event loop that applies them is queued
  std::deque<dispatch::StartOrder> unsent_starts_;
  std::deque<dispatch::StopOrder> unsent_stops_;
  std::optional<dispatch::Commit> commit_;  // commit in progress, if any
  bool commit_in_flight_ = false;           // a call with it awaits its answer
  std::shared_ptr<PrefixWatcher> owner_key_watcher_;
  std::shared_ptr<PrefixWatcher> job_watcher_;
  std::shared_ptr<PrefixWatcher> worker_watcher_;
  bool jobs_loaded_ = false;
  TimePoint last_load_step_;  // when the load of the state last made progress
  TimePoint next_commit_;     // the next call with a commit is due then, if none is in flight
  TimePoint next_term_read_;  // TimePoint::max() while a read is in progress
  // Last time at which this process was certain to be the owner.
  TimePoint last_ownership_proof_;
  TimePoint next_summary_;
  jobs::CatalogPtr applied_catalog_;      // by the dispatcher
  bool starts_held_ = false;              // by the dispatcher
  std::set<std::string> waiting_queues_;  // those with metrics
  TurnTimes turn_times_;
  std::unique_ptr<EventLoop> loop_;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_POOL_OWNER_H_
