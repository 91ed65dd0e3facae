// An owner as a process that can be killed: from then on none of its calls goes out, and no answer
// comes back.
#ifndef POMELOPOND_TESTS_ENTRY_OWNER_PROCESS_H_
#define POMELOPOND_TESTS_ENTRY_OWNER_PROCESS_H_

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "entry/pool_owner.h"
#include "tests/entry/shared_workers.h"
#include "tests/entry/troubled_store.h"

namespace pomelopond::entry {

inline constexpr const char* kWorkerPrefix = "workers/";
inline constexpr Duration kCommitTimeLimit = std::chrono::milliseconds(300);
// A worker's answer to a heartbeat waits for an end in steps of this length.
inline constexpr Duration kWaitStep = std::chrono::milliseconds(50);

// The calls of one process. Once it is killed, none goes out and no answer comes back.
class ProcessCalls : public dispatch::WorkerCalls {
 public:
  explicit ProcessCalls(SharedWorkers* workers) : workers_(*workers) {}

  void Kill() { killed_.store(true); }

  void Heartbeat(const dispatch::HeartbeatOrder& order,
                 std::function<void(dispatch::Report)> done) override {
    Send(
        order.to.worker,
        [this, order](dispatch::SimulatedWorker* it) { return workers_.Hold(it, order); },
        [this, order, done](const dispatch::Report& report) {
          const bool waits = report.answer.status == dispatch::OrderStatus::kAccepted &&
                             report.ended.empty() && order.wait > kWaitStep;
          if (!waits) return done(report);
          dispatch::HeartbeatOrder again = order;
          again.wait -= kWaitStep;
          http::RunAfter(kWaitStep, [this, again, done] { Heartbeat(again, done); });
        });
  }
  void Start(const dispatch::StartOrder& order,
             std::function<void(dispatch::Answer)> done) override {
    Send(
        order.to.worker,
        [this, order](dispatch::SimulatedWorker* it) { return workers_.Start(it, order); },
        [done](const dispatch::Report& report) { done(report.answer); });
  }
  void Stop(const dispatch::StopOrder& order, std::function<void(dispatch::Answer)> done) override {
    Send(
        order.to.worker,
        [order](dispatch::SimulatedWorker* it) {
          return AnswerOf(*it, StopOn(it, order, Now()), Now());
        },
        [done](const dispatch::Report& report) { done(report.answer); });
  }
  void Pace(const dispatch::PaceOrder&, std::function<void(dispatch::Answer)> done) override {
    done({dispatch::OrderStatus::kAccepted, 0, 0});
  }

 private:
  void Send(const std::string& worker,
            const std::function<dispatch::Report(dispatch::SimulatedWorker*)>& execute,
            const std::function<void(dispatch::Report)>& done) {
    if (killed_.load()) return;
    workers_.Call(worker, execute, [this, done](const dispatch::Report& report) {
      if (!killed_.load()) done(report);
    });
  }

  SharedWorkers& workers_;
  std::atomic<bool> killed_{false};
};

// Likewise for the store. A call that went out before the kill is still carried out.
class ProcessStore : public store::KeyStore {
 public:
  explicit ProcessStore(TroubledStore* store) : store_(*store) {}

  void Kill() { killed_.store(true); }

  void Get(const std::string& key, store::StoreCallback<store::Item> done) override {
    if (!killed_.load()) store_.Get(key, Guard(std::move(done)));
  }
  void List(const std::string& prefix, const std::string& after,
            store::StoreCallback<store::Page> done) override {
    if (!killed_.load()) store_.List(prefix, after, Guard(std::move(done)));
  }
  void Watch(const std::string& prefix, int64_t revision, Duration wait,
             store::StoreCallback<store::Changes> done) override {
    if (!killed_.load()) store_.Watch(prefix, revision, wait, Guard(std::move(done)));
  }
  void Commit(const store::Transaction& transaction, Duration timeout,
              store::StoreCallback<store::CommitResult> done) override {
    const Duration shorter = std::min<Duration>(timeout, kCommitTimeLimit);
    if (!killed_.load()) store_.Commit(transaction, shorter, Guard(std::move(done)));
  }
  void GrantLease(Duration ttl, store::StoreCallback<store::Lease> done) override {
    if (!killed_.load()) store_.GrantLease(ttl, Guard(std::move(done)));
  }
  void RenewLease(int64_t lease, store::StoreCallback<store::Lease> done) override {
    if (!killed_.load()) store_.RenewLease(lease, Guard(std::move(done)));
  }
  void EndLease(int64_t lease, store::StoreCallback<store::Lease> done) override {
    if (!killed_.load()) store_.EndLease(lease, Guard(std::move(done)));
  }

 private:
  template <class T>
  store::StoreCallback<T> Guard(store::StoreCallback<T> done) {
    return [this, done = std::move(done)](Result<T> result) {
      if (!killed_.load()) done(std::move(result));
    };
  }

  TroubledStore& store_;
  std::atomic<bool> killed_{false};
};

struct Process {
  Process(const std::string& name, TroubledStore* store, SharedWorkers* workers)
      : store_calls(store), worker_calls(workers) {
    OwnerOptions options;
    options.process = name;
    options.worker_prefix = kWorkerPrefix;
    options.read_worker = [](const store::Item& item) -> Result<dispatch::WorkerInfo> {
      return {{}, SharedWorkers::InfoOf(item.value)};
    };
    options.lease = std::chrono::milliseconds(600);
    options.limits.run_lease = std::chrono::milliseconds(1500);
    options.limits.lease_horizon = std::chrono::milliseconds(2500);
    options.limits.max_lease = options.limits.lease_horizon;
    options.limits.report_wait = std::chrono::milliseconds(200);
    options.limits.finished_retention = std::chrono::milliseconds(500);
    owner =
        std::make_unique<PoolOwner>(options, &store_calls, &worker_calls, http::RunAfter, &metrics);
    owner->Start();
  }

  void Kill() {
    store_calls.Kill();
    worker_calls.Kill();
    owner->Stop();
  }

  ProcessStore store_calls;
  ProcessCalls worker_calls;
  metrics::Registry metrics;
  std::unique_ptr<PoolOwner> owner;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_TESTS_ENTRY_OWNER_PROCESS_H_
