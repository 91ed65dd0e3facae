// One shard that this process owns: its journal, its state and its workers.
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

// What became of an acceptance or a cancellation.
using OutcomeCallback = std::function<void(std::error_code)>;

class ShardRunner {
 public:
  // `unproved` are the earlier owners that may still renew leases. `taken` is when the takeover was
  // sent to the store. `gate` and `metrics` must outlive the runner.
  ShardRunner(const EntrySettings& settings, std::string shard, store::ShardLog log,
              planning::ShardState state, std::vector<store::OwnerId> unproved,
              TimePoint takeover_sent, StoreAvailability* store_availability,
              metrics::Registry* metrics);
  ~ShardRunner();
  ShardRunner(const ShardRunner&) = delete;
  ShardRunner& operator=(const ShardRunner&) = delete;

  void Start();

  // Ends the threads. With `release` the shard is handed over in the store first.
  void Stop(bool release);

  // True when another process owns the shard; the runner does nothing any more.
  bool replaced() const { return replaced_.load(); }

  // From the return on no message that renews a lease or starts a task is built. A message built
  // before echoes a clock reading from before, so it cannot renew beyond one lease from now.
  void Halt();
  // Halt for a shard that a later epoch has taken.
  void MarkReplaced();

  int64_t epoch() const { return epoch_; }
  std::vector<store::OwnerId> unproved();

  void SetHosts(const membership::HostList& hosts);

  // Takes effect with the next record.
  void SetQuotas(std::map<std::string, planning::TeamQuota> quotas);

  // Accepts and cancels jobs until the shard has those of release `version` whose home it is.
  void ApplyRelease(const std::vector<planning::JobSpec>& wanted, int64_t version);
  // From now on this earlier owner is known to renew no leases.
  void OnOwnerStopped(const store::OwnerId& owner, TimePoint now);

  // `decided` is called when the job is durable (clear), refused, or its outcome is unknown.
  void Accept(planning::JobSpec spec, const OutcomeCallback& callback);
  void Cancel(const std::string& job, const OutcomeCallback& callback);

  // The job and its tasks, or null.
  Json Describe(const std::string& job);
  Json Summary();

 private:
  struct Request {
    planning::Event event;
    OutcomeCallback callback;
  };
  struct Worker {
    planning::WorkerSession session;
    std::shared_ptr<http::HttpClient> client;
    bool usable = false;
    bool draining = false;
    Resources capacity;
    std::string rack;
    std::string failure_domain;
    bool in_flight = false;
    TimePoint last_sent;
    // The last answer whose events are not all journalled yet; while `waiting`, later answers are
    // not evaluated.
    bool journal_pending = false;
    int64_t reported_sequence = 0;
    uint64_t reported_incarnation = 0;
    std::vector<planning::AttemptId> acks;
    std::vector<planning::AttemptId> stale_attempts;
  };
  // How far the events of a worker's answers are in a batch.
  struct ReportPosition {
    int64_t sequence = 0;
    uint64_t incarnation = 0;
  };
  struct Batch {
    std::vector<planning::Event> events;
    std::vector<Request> requests;
    std::map<std::string, ReportPosition> reported;  // by host
    std::set<std::string> worker_faults;  // tasks whose failure their worker is to blame for
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
  store::ShardLog log_;  // used by the journal thread only, and by Stop after it has ended
  StoreAvailability* store_availability_;
  metrics::Registry* metrics_;
  const TimePoint hold_limit_end_;  // by then no earlier owner renews leases, proof or not
  std::atomic<bool> stopping_{false};
  std::atomic<bool> halted_{false};
  std::atomic<bool> replaced_{false};
  std::thread journal_thread_;
  std::thread exchange_thread_;

  // Lock order: mutex_ only; not held during store calls, messages to workers and `decided`.
  std::mutex mutex_;
  std::condition_variable changed_;
  planning::ShardState state_;
  planning::Planner planner_;  // follows state_
  planning::HealthTable health_;
  std::minstd_rand random_{std::random_device{}()};
  std::map<std::string, Worker> workers_;
  std::map<std::string, planning::TeamQuota> quotas_;
  bool quotas_changed_ = false;
  std::vector<Request> requests_;
  std::vector<planning::Event> reported_events_;
  std::set<std::string> pending_event_tasks_;  // tasks with an event that is waiting or in flight
  std::set<std::string>
      unresolved_jobs_;  // jobs whose acceptance or cancellation has no answer yet
  std::vector<store::OwnerId> unproved_;
  TimePoint previous_leases_end_;  // end of leases that earlier owners may have renewed
  TimePoint ownership_confirmed_;  // the store showed at or after this time that the shard is owned
  int64_t epoch_ = 0;
  bool store_ok_ = true;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_SHARD_RUNNER_H_
