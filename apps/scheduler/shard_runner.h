// Runs one shard that this process owns: writes its journal, keeps its state and exchanges messages
// with its workers.
#ifndef POMELOPOND_APPS_SCHEDULER_SHARD_RUNNER_H_
#define POMELOPOND_APPS_SCHEDULER_SHARD_RUNNER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "apps/scheduler/store_availability.h"
#include "base/entry_settings.h"
#include "http/http_client.h"
#include "membership/host_list.h"
#include "metrics/registry.h"
#include "planning/health.h"
#include "planning/placement.h"
#include "planning/shard_state.h"
#include "planning/worker_session.h"
#include "store/shard_log.h"

namespace pomelopond::apps {

// Receives the outcome of an acceptance or a cancellation.
using OutcomeCallback = std::function<void(std::error_code)>;

// Thread-safe, except Start() and Stop().
class ShardRunner {
 public:
  // `unproved` lists the earlier owners that may still renew leases. `takeover_sent` is the time at
  // which the takeover was sent to the store. `store_availability` and `metrics` must outlive the
  // runner.
  ShardRunner(const EntrySettings& settings, std::string shard, store::ShardLog log,
              planning::ShardState state, std::vector<store::OwnerId> unproved,
              TimePoint takeover_sent, StoreAvailability* store_availability,
              metrics::Registry* metrics);
  ~ShardRunner();
  ShardRunner(const ShardRunner&) = delete;
  ShardRunner& operator=(const ShardRunner&) = delete;

  void Start();

  // Ends the threads and refuses the queued requests. If `release` is true, then hands the shard
  // over in the store, unless the runner was replaced or has a write with an unknown outcome.
  void Stop(bool release);

  // Returns whether another process owns the shard. The runner is inactive from then on.
  bool replaced() const { return replaced_.load(); }

  // After this returns, the runner builds no message that renews a lease or starts a task. A
  // message built earlier echoes an earlier clock reading of the worker, so it cannot extend a
  // lease beyond one lease duration from now.
  void Halt();
  // Halts the runner and sets replaced(), because another process owns the shard at a later epoch.
  void MarkReplaced();

  int64_t epoch() const { return epoch_; }
  // Returns the earlier owners that are not proved to have stopped.
  std::vector<store::OwnerId> unproved();

  void SetHosts(const membership::HostList& hosts);

  // Sets the teams' quotas, which apply from the next journal record on.
  void SetQuotas(std::map<std::string, planning::TeamQuota> quotas);

  // Accepts and cancels jobs so that the shard holds exactly `wanted`, the jobs of release
  // `version` that have this shard as their home, besides the jobs that callers submitted.
  void ApplyRelease(const std::vector<planning::JobSpec>& wanted, int64_t version);
  // Records that this earlier owner renews no leases from `now` on.
  void OnOwnerStopped(const store::OwnerId& owner, TimePoint now);

  // Queues the request. `callback` is called without an error once the acceptance or cancellation
  // is durable, or with an error if it is refused or its outcome is unknown.
  void Accept(planning::JobSpec spec, const OutcomeCallback& callback);
  void Cancel(const std::string& job, const OutcomeCallback& callback);

  // Returns the job and its tasks, or null if the shard does not hold the job.
  Json Describe(const std::string& job);
  // Returns the shard's epoch, its counts of jobs, tasks and hosts, and the health of its workers.
  Json Summary();

 private:
  // A queued acceptance or cancellation.
  struct Request {
    planning::Event event;
    OutcomeCallback callback;
  };
  struct Worker {
    planning::WorkerSession session;
    std::shared_ptr<http::HttpClient> client;
    bool usable = false;    // the host list has the host as live
    bool draining = false;  // the host is leaving; its tasks are stopped
    Resources capacity;
    std::string rack;
    std::string failure_domain;
    bool in_flight = false;  // an exchange is in flight
    TimePoint last_sent;     // when the last exchange was sent; unset if one is due at once
    // Not all events of the last evaluated answer are journalled yet. Until they are, later answers
    // are not evaluated.
    bool journal_pending = false;
    int64_t reported_sequence = 0;          // report sequence of the last evaluated answer
    uint64_t reported_incarnation = 0;      // worker incarnation of that answer
    std::vector<planning::AttemptId> acks;  // attempts to acknowledge to the worker
    std::vector<planning::AttemptId> stale_attempts;  // attempts that the worker has to stop
  };
  // Report position of a worker up to which a batch journals its events.
  struct ReportPosition {
    int64_t sequence = 0;
    uint64_t incarnation = 0;
  };
  // Events of one journal record, with the requests and reports that the record completes.
  struct Batch {
    std::vector<planning::Event> events;
    std::vector<Request> requests;
    std::map<std::string, ReportPosition> reported;  // by host
    std::set<std::string> worker_faults;             // tasks whose failure is their worker's fault
  };

  void RunJournal();
  void RunExchanges();
  Batch TakeBatch(TimePoint now);
  void AddRequests(Batch* batch);
  void Commit(const Batch& batch);
  void Complete(const Batch& batch, std::error_code ec);
  void AnswerOutcomeUnknown(Batch* batch);
  void RefuseRequests(std::error_code ec);
  void CompactIfNeeded();
  std::error_code ResolveWrite(std::error_code ec, Batch* batch);
  void ConfirmOwnership();
  void ClearUnprovedOwners(TimePoint now);
  bool IsActive() const { return !stopping_.load() && !halted_.load() && !replaced(); }
  void ConvertWorkerFaults(Batch* batch);
  void ApplyEvent(const planning::Event& event, bool worker_fault, TimePoint now);
  void Exchange(const std::string& host, TimePoint now);
  void OnExchange(const std::string& host, const http::HttpResult& result);
  std::vector<planning::PlacementHost> PlacementHosts() const;

  const EntrySettings settings_;
  const std::string shard_;
  store::ShardLog log_;  // used by the journal thread, and by Stop() after the thread has ended
  StoreAvailability* store_availability_;
  metrics::Registry* metrics_;
  // Earlier owners renew no leases after this, even those that are not proved to have stopped.
  const TimePoint hold_limit_end_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> halted_{false};
  std::atomic<bool> replaced_{false};
  std::thread journal_thread_;
  std::thread exchange_thread_;

  // Guards the members below. No other lock is taken while it is held. Not held during store calls,
  // messages to workers and callbacks of requests.
  std::mutex mutex_;
  std::condition_variable changed_;  // there may be events or requests to journal
  planning::ShardState state_;
  planning::Planner planner_;  // placement state, kept consistent with state_
  planning::HealthTable health_;
  std::minstd_rand random_{std::random_device{}()};
  std::map<std::string, Worker> workers_;              // by host
  std::map<std::string, planning::TeamQuota> quotas_;  // by team
  bool quotas_changed_ = false;                        // planner_ does not use quotas_ yet
  std::vector<Request> requests_;                      // not in a batch yet
  std::vector<planning::Event> reported_events_;       // from workers' answers, not in a batch yet
  // Tasks with an event that is queued or being journalled.
  std::set<std::string> pending_event_tasks_;
  // Jobs whose acceptance or cancellation was sent to the store and has no known outcome yet.
  std::set<std::string> unresolved_jobs_;
  std::vector<store::OwnerId> unproved_;  // earlier owners that are not proved to have stopped
  // End of the leases that earlier owners may have renewed; kUnknownLease while unproved_ is not
  // empty.
  TimePoint previous_leases_end_;
  // The store showed at or after this time that this process owns the shard.
  TimePoint ownership_confirmed_;
  int64_t epoch_ = 0;
  bool store_ok_ = true;  // the last batch was journalled
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_SHARD_RUNNER_H_
