// A load of jobs against the real Dispatcher: workers that answer at once, tasks that take other
// times than their callers estimate, and what the callers get for their jobs.
#ifndef POMELOPOND_TESTS_DISPATCH_SIMULATED_LOAD_H_
#define POMELOPOND_TESTS_DISPATCH_SIMULATED_LOAD_H_

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {

struct LoadShape {
  int workers = 4;              // of 16 cores each
  double load = 1;              // work that arrives, as a multiple of the pool's capacity
  double burst = 1;             // factor of the load from 5 s to 8 s
  double urgent_share = 0;      // of the jobs, in a queue of priority 0; the others have priority 2
  double estimate_error = 0.9;  // tasks take up to this part more or less than estimated
  int64_t duration_ms = 30000;  // time during which jobs arrive
  bool order_by_work = false;
  // Returns true if a host refuses the job, by what it has read in the last second.
  std::function<bool(const jobs::Job&, const WaitingCounts&)> refuses;
  unsigned seed = 1;
};

struct LoadedJob {
  jobs::Job job;
  int64_t task_ms = 0;  // the time that each task takes
  double work = 0;
  int64_t objective_ms = 0;
  double value = 0;      // if it completes within its objective
  int64_t took_ms = -1;  // -1: not completed
  bool refused = false;
  bool IsOnTime() const { return took_ms >= 0 && took_ms <= objective_ms; }
  bool IsUseful() const { return took_ms >= 0 && took_ms <= 3 * objective_ms; }
};

// Share of the jobs of [from, to) that completed within their objective.
inline double OnTime(const std::vector<LoadedJob>& jobs, size_t from, size_t to) {
  const auto begin = jobs.begin();
  const auto n = std::count_if(begin + static_cast<std::ptrdiff_t>(from),
                               begin + static_cast<std::ptrdiff_t>(to),
                               [](const LoadedJob& it) { return it.IsOnTime(); });
  return static_cast<double>(n) / static_cast<double>(to - from);
}

// Part of the value of all jobs that callers get.
inline double ValueShare(const std::vector<LoadedJob>& jobs) {
  double got = 0;
  double all = 0;
  for (const LoadedJob& it : jobs) {
    all += it.value;
    if (it.IsUseful()) got += it.IsOnTime() ? it.value : 0.15 * it.value;
  }
  return got / all;
}

class SimulatedLoad {
 public:
  explicit SimulatedLoad(const LoadShape& shape)
      : shape_(shape), random_(shape.seed), it_(1, Limits(shape)) {
    std::vector<WorkerInfo> workers;
    for (int n = 1; n <= shape.workers; ++n) workers.push_back(MakeWorker("w" + std::to_string(n)));
    for (const WorkerInfo& it : workers) runs_[it.id];
    it_.AddWorkers(workers);
    MakeJobs();
  }

  // Returns the jobs, the smallest first.
  std::vector<LoadedJob> Run() {
    size_t next = 0;
    // Nothing that completes later than this is of use to its caller.
    const int64_t end = kWallStart + shape_.duration_ms + 15000;
    for (; wall_ms_ < end; wall_ms_ += kStepMs) {
      for (; next < jobs_.size() && jobs_[next].job.accepted_ms <= wall_ms_; ++next) {
        Submit(&jobs_[next]);
      }
      Advance();
      if ((wall_ms_ - kWallStart) % kReadMs != 0) continue;
      known_.forecasts = it_.dispatcher.Summary(it_.now, wall_ms_).forecasts;
    }
    for (LoadedJob& it : jobs_) {
      const JobEntry* entry = it_.dispatcher.FindJob(it.job.id);
      if (entry == nullptr || entry->state != jobs::JobState::kCompleted) continue;
      it.took_ms = entry->finished_ms - it.job.accepted_ms;
    }
    std::sort(jobs_.begin(), jobs_.end(),
              [](const LoadedJob& a, const LoadedJob& b) { return a.work < b.work; });
    return jobs_;
  }

 private:
  static constexpr int64_t kStepMs = 50;
  static constexpr int64_t kReadMs = 1000;
  static constexpr int64_t kCoreMilli = 2000;

  static DispatchLimits Limits(const LoadShape& shape) {
    DispatchLimits limits;
    limits.order_by_work = shape.order_by_work;
    limits.forecast_waits = true;
    return limits;
  }

  void Submit(LoadedJob* job) {
    job->refused = shape_.refuses && shape_.refuses(job->job, known_);
    if (!job->refused) it_.dispatcher.AddJob(job->job, {}, false);
  }

  LoadedJob MakeLoadedJob(size_t n, int64_t accepted_ms) {
    std::lognormal_distribution<double> width(1.1, 0.9);
    std::lognormal_distribution<double> time(6.4, 0.6);
    std::uniform_real_distribution<double> error(1 - shape_.estimate_error,
                                                 1 + shape_.estimate_error);
    std::uniform_real_distribution<double> any;
    LoadedJob out;
    const bool urgent = any(random_) < shape_.urgent_share;
    jobs::Step step = MakeStep(std::clamp(static_cast<int>(width(random_)), 1, 40), kCoreMilli);
    step.estimate_ms = std::clamp<int64_t>(static_cast<int64_t>(time(random_)), 50, 5000);
    out.task_ms = static_cast<int64_t>(static_cast<double>(step.estimate_ms) * error(random_)) + 1;
    step.image = "image";
    out.job = MakeJob("job" + std::to_string(10000 + n), {step, step});
    out.job.steps[1].after = {0};
    out.job.accepted_ms = accepted_ms;
    out.job.rules.queue = urgent ? "urgent" : "batch";
    out.job.rules.priority = urgent ? 0 : 2;
    out.job.rules.stretch = 2;
    out.job.rules.target_duration_ms = 1000;
    out.objective_ms = 4 * out.task_ms + 1000;
    out.work = static_cast<double>(2 * out.task_ms * step.replicas * kCoreMilli);
    return out;
  }

  void MakeJobs() {
    const double capacity = static_cast<double>(shape_.workers) * 16000;  // work a millisecond
    double due = 0;
    double all = 0;
    while (due < static_cast<double>(shape_.duration_ms)) {
      jobs_.push_back(MakeLoadedJob(jobs_.size(), kWallStart + static_cast<int64_t>(due)));
      all += jobs_.back().work;
      const bool in_burst = due >= 5000 && due < 8000;
      // The next job comes once the pool could have done this one, at a load of 1.
      std::exponential_distribution<double> gap(shape_.load * (in_burst ? shape_.burst : 1));
      due += gap(random_) * kMeanWork / capacity;
    }
    const double mean = all / static_cast<double>(jobs_.size());
    for (LoadedJob& it : jobs_) it.value = std::min(4.0, 0.3 + 0.7 * it.work / mean);
  }

  void Advance() {
    it_.Advance(std::chrono::milliseconds(kStepMs));
    it_.orders = it_.dispatcher.Decide(it_.now, wall_ms_);
    for (const StartOrder& order : it_.orders.starts) {
      runs_[order.to.worker][order.run] = wall_ms_ + TaskMs(order.run);
    }
    it_.ConfirmStarts();
    for (auto& [worker, runs] : runs_) Report(worker, &runs);
    it_.CommitAll();
  }

  int64_t TaskMs(const RunId& run) const {
    return jobs_[static_cast<size_t>(std::stoi(run.task.job.substr(3)) - 10000)].task_ms;
  }

  void Report(const std::string& worker, std::map<RunId, int64_t>* runs) {
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
    for (const auto& [run, end_ms] : *runs) {
      if (end_ms > wall_ms_) active.push_back({run, "", 50, 0});
      if (end_ms <= wall_ms_) ended.push_back(End(++sequence_[worker], run, EndKind::kDone));
    }
    for (const EndedRun& end : ended) runs->erase(end.id);
    HeartbeatOrder order;
    order.to = {worker, it_.dispatcher.workers().at(worker).info.endpoint};
    it_.dispatcher.OnReport(order, {it_.Accepted(), std::move(active), std::move(ended)}, it_.now,
                            wall_ms_);
  }

  // Mean work of the jobs that MakeLoadedJob() makes.
  static constexpr double kMeanWork = 2 * 4.0 * 720 * kCoreMilli;

  const LoadShape shape_;
  std::mt19937 random_;
  Scenario it_;
  int64_t wall_ms_ = kWallStart;
  WaitingCounts known_;  // to the hosts
  std::vector<LoadedJob> jobs_;
  std::map<std::string, std::map<RunId, int64_t>> runs_;  // when each ends
  std::map<std::string, int64_t> sequence_;
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_TESTS_DISPATCH_SIMULATED_LOAD_H_
