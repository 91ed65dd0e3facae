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
using Decided = std::function<void(std::error_code)>;

class ShardRunner {
 public:
  // `owner_stopped` tells whether the previous owner is proved to renew no leases any more.
  ShardRunner(const EntrySettings& settings, std::string shard, store::ShardLog log,
              planning::ShardState state, bool owner_stopped, metrics::Registry* metrics);
  ~ShardRunner();
  ShardRunner(const ShardRunner&) = delete;
  ShardRunner& operator=(const ShardRunner&) = delete;

  void Start();

  // Ends the threads. With `release` the shard is handed over in the store first.
  void Stop(bool release);

  // True when another process owns the shard; the runner does nothing any more.
  bool replaced() const { return replaced_.load(); }

  void SetHosts(const membership::HostList& hosts);
  // From now on the previous owner is known to renew no leases.
  void OwnerStopped(TimePoint now);

  // `decided` is called when the job is durable (clear), refused, or its outcome is unknown.
  void Accept(planning::JobSpec spec, const Decided& decided);
  void Cancel(const std::string& job, const Decided& decided);

  // The job and its tasks, or null.
  Json Describe(const std::string& job);
  Json Summary();

 private:
  struct Request {
    planning::Event event;
    Decided decided;
  };
  struct Worker {
    planning::WorkerSession session;
    std::shared_ptr<http::HttpClient> client;
    bool usable = false;
    Resources capacity;
    std::string rack;
    std::string failure_domain;
    bool in_flight = false;
    TimePoint last_sent;
    int64_t reported = 0;  // sequence of the last answer whose events are in the next batch
    std::vector<planning::AttemptId> acks;
  };
  struct Batch {
    std::vector<planning::Event> events;
    std::vector<Request> requests;
    std::map<std::string, int64_t> reported;  // by host
    std::set<std::string> excused;            // tasks whose failure their worker is to blame for
  };

  void RunJournal();
  void RunExchanges();
  Batch TakeBatch(TimePoint now);
  void AddRequests(Batch* batch);
  void Commit(const Batch& batch);
  void Complete(const Batch& batch, std::error_code ec);
  void ExcuseFailures(Batch* batch);
  void Follow(const planning::Event& event, bool excused, TimePoint now);
  void Drop();
  void Exchange(const std::string& host, TimePoint now);
  void OnExchange(const std::string& host, int64_t sequence, const http::HttpResult& result);
  std::vector<planning::HostRoom> Rooms() const;

  const EntrySettings settings_;
  const std::string shard_;
  store::ShardLog log_;  // used by the journal thread only, and by Stop after it has ended
  metrics::Registry* metrics_;
  std::atomic<bool> stopping_{false};
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
  std::vector<Request> requests_;
  std::vector<planning::Event> reports_;
  TimePoint unknown_lease_;  // end of leases that the previous owner may have renewed
  int64_t epoch_ = 0;
  bool store_ok_ = true;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_SHARD_RUNNER_H_
