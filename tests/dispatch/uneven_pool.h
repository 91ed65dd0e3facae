// A pool of workers of which some are slow for a time, under a load of interactive and batch jobs.
#ifndef POMELOPOND_TESTS_DISPATCH_UNEVEN_POOL_H_
#define POMELOPOND_TESTS_DISPATCH_UNEVEN_POOL_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {

// Jobs of a queue: all that were submitted, and those that completed within their objective.
struct ServedJobs {
  int all = 0;
  int on_time = 0;
};

class UnevenPool {
 public:
  UnevenPool(int workers, bool rescues) {
    DispatchLimits limits;
    limits.rescue_slow_runs = rescues;
    it_.dispatcher.SetLimits(limits);
    std::vector<WorkerInfo> infos;
    for (int n = 0; n < workers; ++n) {
      infos.push_back(MakeWorker("w" + std::to_string(n + 1), 32000));
      workers_[infos.back().id];
    }
    it_.AddWorkers(infos);
  }

  // The first `n` workers run at `rate` from now on.
  void SetRate(int n, double rate) {
    for (int k = 1; k <= n; ++k) workers_.at("w" + std::to_string(k)).rate = rate;
  }

  // A second of load of 24 workers: an interactive and a batch job.
  void SubmitSecond() {
    jobs::Step interactive = MakeStep(10, 3700);
    interactive.image = "interactive-" + std::to_string(submitted_ % 2);
    interactive.speculative = submitted_ % 3 == 0;
    Submit("interactive", {interactive}, 0, 800, 1.5, 300);
    jobs::Step batch = MakeStep(20, 3500);
    batch.image = "batch-" + std::to_string(submitted_ % 3);
    batch.best_effort = true;
    batch.checkpoint = submitted_ % 7 != 0;
    jobs::Step second = batch;
    second.after = {0};
    Submit("batch", {batch, second}, 2, 2200, 2, 1000);
  }

  // The tasks of the steps take `task_ms`; the estimates are wrong.
  std::string Submit(const std::string& queue, std::vector<jobs::Step> steps, int priority,
                     int task_ms, double stretch, int64_t allowance_ms) {
    const std::string id = std::to_string(1000000000000000 + ++submitted_);
    const double error = std::uniform_real_distribution<>(0.5, 1.5)(random_);
    for (jobs::Step& it : steps) it.estimate_ms = static_cast<int64_t>(task_ms * error);
    jobs::Job job = MakeJob(id, steps);
    job.rules.queue = queue;
    job.rules.priority = priority;
    job.rules.max_attempts = max_attempts;
    job.rules.stretch = stretch;
    job.rules.target_duration_ms = allowance_ms;
    job.accepted_ms = WallMs();
    // Three of 100 tasks take seven times as long, which is no fault of anybody. Their jobs are not
    // counted.
    Submitted& submitted = jobs_[id];
    submitted.counted = true;
    for (int s = 0; s < static_cast<int>(steps.size()); ++s) {
      for (int n = 0; n < steps[static_cast<size_t>(s)].replicas; ++n) {
        const bool is_long = std::uniform_real_distribution<>(0, 1)(random_) < long_share;
        work_[{id, 0, s, n}] = is_long ? 7 * task_ms : task_ms;
        submitted.counted = submitted.counted && !is_long;
      }
    }
    submitted.queue = queue;
    submitted.replicas = steps[0].replicas;
    submitted.due_ms = WallMs() + allowance_ms +
                       static_cast<int64_t>(stretch * task_ms * static_cast<double>(steps.size()));
    submitted.job = job;
    it_.dispatcher.AddJob(job, {}, false);
    return id;
  }

  void Run(Duration duration) {
    for (Duration passed{}; passed < duration; passed += kTick) Advance();
  }

  // Plays the load for `duration`.
  void RunLoad(Duration duration) {
    for (Duration passed{}; passed < duration; passed += std::chrono::seconds(1)) {
      SubmitSecond();
      Run(std::chrono::seconds(1));
    }
  }

  ServedJobs Served(const std::string& queue) const {
    ServedJobs out;
    for (const auto& [id, it] : jobs_) {
      if (it.queue != queue || !it.counted) continue;
      out.all += 1;
      out.on_time += it.done_ms > 0 && it.done_ms <= it.due_ms ? 1 : 0;
    }
    return out;
  }

  // Runs of the job that are at work on the first `workers` workers.
  int RunsOf(const std::string& job, int workers) const {
    int runs = 0;
    for (int n = 1; n <= workers; ++n) {
      for (const auto& [run, it] : workers_.at("w" + std::to_string(n)).runs) {
        runs += run.task.job == job && it.stops_at == TimePoint::max() ? 1 : 0;
      }
    }
    return runs;
  }
  // Fewest of them at one time, since all tasks of its first step have run.
  int LeastRuns(const std::string& job) const { return jobs_.at(job).least_runs; }

  PoolSummary Summary() const { return it_.dispatcher.Summary(it_.now, WallMs()); }
  int StartsOn(int worker) const { return workers_.at("w" + std::to_string(worker)).starts; }
  int stops() const { return stops_; }
  int runs_of_two() const { return runs_of_two_; }
  bool IsCompleted(const std::string& id) const { return jobs_.at(id).done_ms > 0; }
  const Dispatcher& dispatcher() const { return it_.dispatcher; }

  double long_share = 0.03;
  int max_attempts = 3;
  // Runs on these workers fail halfway.
  std::set<std::string> failing;

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(50);
  static constexpr Duration kStopTime = std::chrono::milliseconds(200);
  static constexpr Duration kReportInterval = std::chrono::seconds(1);

  struct Submitted {
    std::string queue;
    jobs::Job job;
    bool counted = false;
    int64_t due_ms = 0;
    int64_t done_ms = 0;
    int replicas = 0;                                  // of the first step
    int least_runs = std::numeric_limits<int>::max();  // since all have run
  };
  struct ActiveTask {
    double done_ms = 0;
    double work_ms = 0;
    jobs::Step step;
    TimePoint stops_at = TimePoint::max();
  };
  struct Worker {
    double rate = 1;
    std::map<RunId, ActiveTask> runs;
    int64_t sequence = 0;
    int starts = 0;
    TimePoint reported_at{};
  };

  int64_t WallMs() const { return kWallStart + it_.ClockMs() - start_ms_; }

  void Advance() {
    it_.Advance(kTick);
    for (auto& [id, it] : workers_) {
      for (auto& [run, state] : it.runs) state.done_ms += it.rate * Milliseconds(kTick);
    }
    for (auto& [id, it] : workers_) Report(id, &it);
    it_.orders = it_.dispatcher.Decide(it_.now, WallMs());
    for (const StartOrder& it : it_.orders.starts) Start(it);
    it_.ConfirmStarts();
    for (const StopOrder& it : it_.orders.stops) Stop(it);
    it_.CommitAll();
    for (auto& [id, it] : jobs_) {
      const JobEntry* entry = it_.dispatcher.FindJob(id);
      const bool done = entry != nullptr && entry->state == jobs::JobState::kCompleted;
      if (it.done_ms == 0 && done) it.done_ms = WallMs();
      const int runs = RunsOf(id, static_cast<int>(workers_.size()));
      const bool all_have_run = it.least_runs <= it.replicas || runs == it.replicas;
      if (all_have_run) it.least_runs = std::min(it.least_runs, runs);
    }
  }

  void Start(const StartOrder& order) {
    Worker& worker = workers_.at(order.to.worker);
    const jobs::TaskId& task = order.run.task;
    ActiveTask run;
    run.step = jobs_.at(task.job).job.steps[static_cast<size_t>(task.step)];
    run.work_ms = work_.at(task);
    if (!order.checkpoint.empty()) run.done_ms = std::stod(order.checkpoint);
    for (const auto& [id, it] : workers_) {
      for (const auto& [other, state] : it.runs) {
        if (!(other.task == task)) continue;
        runs_of_two_ += 1;
        EXPECT_TRUE(run.step.speculative) << "task runs twice";
      }
    }
    worker.starts += 1;
    worker.runs.emplace(order.run, run);
  }

  void Stop(const StopOrder& order) {
    stops_ += 1;
    auto& runs = workers_.at(order.to.worker).runs;
    const auto run = runs.find(order.run);
    if (run != runs.end()) run->second.stops_at = it_.now + kStopTime;
    it_.dispatcher.OnStopped(order, it_.Accepted(), it_.now);
  }

  void Report(const std::string& id, Worker* worker) {
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
    const bool fails = failing.count(id) > 0;
    for (const auto& [run, it] : worker->runs) {
      const std::string text = it.step.checkpoint ? std::to_string(it.done_ms) : "";
      if (it.done_ms >= it.work_ms) {
        ended.push_back(End(++worker->sequence, run, EndKind::kDone));
      } else if (fails && it.done_ms >= it.work_ms / 2) {
        ended.push_back(End(++worker->sequence, run, EndKind::kFailed));
      } else if (it_.now >= it.stops_at) {
        ended.push_back(End(++worker->sequence, run, EndKind::kStopped, text));
      } else {
        // A perpetual task serves as soon as it has started.
        const int percent =
            it.step.perpetual ? 100 : static_cast<int>(it.done_ms * 100 / it.work_ms);
        active.push_back({run, text, percent, it.step.request.cpu_milli});
      }
    }
    if (ended.empty() && it_.now < worker->reported_at + kReportInterval) return;
    worker->reported_at = it_.now;
    for (const EndedRun& it : ended) worker->runs.erase(it.id);
    it_.Report(id, active, ended);
  }

  Scenario it_;
  const int64_t start_ms_ = it_.ClockMs();
  std::mt19937_64 random_{7};
  std::map<std::string, Worker> workers_;
  std::map<std::string, Submitted> jobs_;
  std::map<jobs::TaskId, double> work_;
  int submitted_ = 0;
  int stops_ = 0;
  int runs_of_two_ = 0;
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_TESTS_DISPATCH_UNEVEN_POOL_H_
