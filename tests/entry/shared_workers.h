// Simulated workers that several owners call, in real time. They keep account of what runs and of
// what they were told to forget.
#ifndef POMELOPOND_TESTS_ENTRY_SHARED_WORKERS_H_
#define POMELOPOND_TESTS_ENTRY_SHARED_WORKERS_H_

#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry/keys.h"
#include "jobs/progress.h"
#include "tests/dispatch/simulated_worker.h"
#include "tests/dispatch/stored_end.h"
#include "tests/entry/troubled_store.h"

namespace pomelopond::entry {

// The tasks of a job with this spec fail.
inline constexpr const char* kFailingSpec = "fails";

class SharedWorkers {
 public:
  SharedWorkers(uint64_t seed, int count, TroubledStore* store) : store_(*store), random_(seed) {
    for (int n = 1; n <= count; ++n) {
      dispatch::SimulatedWorker& it = workers_["w" + std::to_string(n)];
      it.info = InfoOf("w" + std::to_string(n));
      it.booted = Now();
    }
  }

  static dispatch::WorkerInfo InfoOf(const std::string& id) {
    dispatch::WorkerInfo info;
    info.id = id;
    info.service = "pool";
    info.endpoint = {"10.0.0.1", static_cast<uint16_t>(std::stoi(id.substr(1)))};
    info.capacity = {8000, 8000, 0};
    info.incarnation = 1;
    return info;
  }

  // Carries out `execute` on the worker and returns its answer, both after a short time.
  void Call(const std::string& worker,
            const std::function<dispatch::Report(dispatch::SimulatedWorker*)>& execute,
            const std::function<void(dispatch::Report)>& done) {
    http::RunAfter(Delay(), [this, worker, execute, done] {
      dispatch::Report report;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        dispatch::SimulatedWorker* it = &workers_.at(worker);
        Advance(it, Now());
        report = execute(it);
      }
      http::RunAfter(Delay(), [done, report] { done(report); });
    });
  }

  // Start() and Hold() are for use in `execute`, which runs with the lock.
  dispatch::Report Start(dispatch::SimulatedWorker* worker, const dispatch::StartOrder& order) {
    dispatch::SimulatedRun run;
    run.began = Now();
    run.work = std::chrono::milliseconds(std::uniform_int_distribution<>(20, 400)(random_));
    run.fails = order.spec == kFailingSpec;
    run.step.request = {1000, 100, 0};
    const bool known = worker->active.count(order.run) > 0;
    const dispatch::OrderStatus status = StartOn(worker, order, run, Now());
    if (status == dispatch::OrderStatus::kAccepted && !known) CheckStart(*worker, order.run);
    return AnswerOf(*worker, status, Now());
  }

  dispatch::Report Hold(dispatch::SimulatedWorker* worker, const dispatch::HeartbeatOrder& order) {
    std::vector<dispatch::EndedRun> forgotten;
    const dispatch::OrderStatus status = HoldOn(worker, order, Now(), &forgotten);
    for (const dispatch::EndedRun& it : forgotten) CheckForgotten(*worker, it);
    return ReportOf(*worker, status, Now());
  }

  std::vector<std::string> Faults() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return faults_;
  }
  int starts() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return starts_;
  }
  size_t forgotten() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return done_forgotten_.size();
  }

 private:
  Duration Delay() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::chrono::milliseconds(std::uniform_int_distribution<>(1, 4)(random_));
  }

  static std::string Text(const dispatch::RunId& id) {
    return id.task.job + "." + std::to_string(id.task.step) + "." + std::to_string(id.task.index) +
           " run " + std::to_string(id.run);
  }

  // These require the lock.
  void CheckStart(const dispatch::SimulatedWorker& worker, const dispatch::RunId& id) {
    starts_ += 1;
    const std::string where = Text(id) + " on " + worker.info.id;
    if (done_forgotten_.count(id.task) > 0)
      faults_.push_back("starts after a forgotten end: " + where);
    for (auto& [name, it] : workers_) {
      Advance(&it, Now());
      for (const auto& [run, state] : it.active) {
        const bool other = run.task == id.task && !(run == id && name == worker.info.id);
        if (other) faults_.push_back("runs twice: " + where + ", " + Text(run) + " on " + name);
      }
    }
  }

  void CheckForgotten(const dispatch::SimulatedWorker& worker, const dispatch::EndedRun& end) {
    if (end.kind != dispatch::EndKind::kDone && end.kind != dispatch::EndKind::kFailed) return;
    if (end.kind == dispatch::EndKind::kDone) done_forgotten_.insert(end.id.task);
    const std::string& job = end.id.task.job;
    if (store_.ValueOf(JobKey(job)).revision == 0) return;
    const std::string bytes = store_.ValueOf(ProgressKey(job)).value;
    const jobs::JobProgress progress =
        bytes.empty() ? jobs::JobProgress{} : jobs::DecodeProgress(bytes).value;
    if (dispatch::IsStored(progress, end, false)) return;
    faults_.push_back("forgotten before it is stored: " + Text(end.id) + " on " + worker.info.id);
  }

  TroubledStore& store_;
  std::mutex mutex_;  // guards the members below; held while the store's lock is acquired
  std::mt19937_64 random_;
  std::map<std::string, dispatch::SimulatedWorker> workers_;
  std::set<jobs::TaskId> done_forgotten_;
  std::vector<std::string> faults_;
  int starts_ = 0;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_TESTS_ENTRY_SHARED_WORKERS_H_
