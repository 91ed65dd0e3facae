// What tests of PoolOwner share: a worker, a job, a timer, and polling for a condition.
#ifndef POMELOPOND_TESTS_ENTRY_OWNER_SUPPORT_H_
#define POMELOPOND_TESTS_ENTRY_OWNER_SUPPORT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "base/time.h"
#include "dispatch/worker_calls.h"
#include "entry/pool_owner.h"
#include "entry/prefix_watcher.h"
#include "http/http_client.h"
#include "jobs/job.h"
#include "store/key_store.h"

namespace pomelopond::entry {

class UnresponsiveWorkers : public dispatch::WorkerCalls {
 public:
  void Heartbeat(const dispatch::HeartbeatOrder&, std::function<void(dispatch::Report)>) override {}
  void Start(const dispatch::StartOrder&, std::function<void(dispatch::Answer)>) override {}
  void Stop(const dispatch::StopOrder&, std::function<void(dispatch::Answer)>) override {}
  void Pace(const dispatch::PaceOrder&, std::function<void(dispatch::Answer)>) override {}
  void Disconnect() override { disconnects += 1; }

  std::atomic<int> disconnects{0};
};

// Reports once, so that the worker is known to be present, and handles starts as told.
class StartingWorkers : public UnresponsiveWorkers {
 public:
  void Heartbeat(const dispatch::HeartbeatOrder&,
                 std::function<void(dispatch::Report)> done) override {
    if (!reported_.exchange(true)) done({Accepted(), {}, {}});
  }
  void Start(const dispatch::StartOrder&, std::function<void(dispatch::Answer)> done) override {
    starts += 1;
    if (answers_starts) done(Accepted());
  }

  std::atomic<int> starts{0};
  std::atomic<bool> answers_starts{true};

 private:
  // The worker's clock runs like the local one.
  static dispatch::Answer Accepted() {
    return {dispatch::OrderStatus::kAccepted, Milliseconds(Now().time_since_epoch()), 1};
  }

  std::atomic<bool> reported_{false};
};

// The worker that every registration names.
inline Result<dispatch::WorkerInfo> ReadOneWorker(const store::Item&) {
  dispatch::WorkerInfo worker;
  worker.id = "w1";
  worker.service = "pool";
  worker.endpoint = {"10.0.0.1", 1};
  worker.capacity = {8000, 8000, 0};
  worker.incarnation = 1;
  return {{}, worker};
}

// The options of an owner that knows that worker only.
inline OwnerOptions OptionsOf(const std::string& process) {
  OwnerOptions options;
  options.process = process;
  options.worker_prefix = "workers/";
  options.read_worker = ReadOneWorker;
  return options;
}

// A job of one task for that worker's pool.
inline jobs::Job OneTask(const std::string& id) {
  jobs::Job job;
  job.id = id;
  job.rules.service = "pool";
  job.steps.resize(1);
  job.steps[0].request = {1000, 100, 0};
  return job;
}

// A timer that runs nothing after Stop(), so that its users can be destroyed then.
class StoppableTimer {
 public:
  Timer Get() {
    return [state = state_](Duration delay, std::function<void()> work) {
      http::RunAfter(delay, [state, work = std::move(work)] {
        const std::lock_guard<std::mutex> lock(state->mutex);
        if (!state->stopped) work();
      });
    };
  }

  void Stop() {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->stopped = true;
  }

 private:
  struct State {
    std::mutex mutex;  // guards stopped; held while a function runs, before all other locks
    bool stopped = false;
  };
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

// Returns false if the condition does not hold within 10 s.
inline bool WaitFor(const std::function<bool()>& condition) {
  constexpr int kPolls = 1000;
  for (int n = 0; n < kPolls; ++n) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

}  // namespace pomelopond::entry

#endif  // POMELOPOND_TESTS_ENTRY_OWNER_SUPPORT_H_
