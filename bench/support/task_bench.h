// Provides shared helpers for the task benchmarks: the planned store limits, job submission and the
// workers' run records.
#ifndef POMELOPOND_BENCH_SUPPORT_TASK_BENCH_H_
#define POMELOPOND_BENCH_SUPPORT_TASK_BENCH_H_

#include <algorithm>
#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/cluster.h"
#include "tests/support/runs.h"

namespace pomelopond::bench {

// Returns the planned store limits: 300 writes and 2,000 reads per second at a latency of 5 ms.
inline Json PlannedStore() {
  return {{"latency_ms", 5}, {"writes_per_second", 300}, {"reads_per_second", 2000}};
}

inline Json ServiceJob(const std::string& id, int64_t count, int64_t cpu_milli) {
  return {{"id", id},
          {"kind", "service"},
          {"team", "team"},
          {"count", count},
          {"need", {{"cpu_milli", cpu_milli}, {"memory_mb", 1}}}};
}

// Submits the jobs from `threads` threads and retries each until it is accepted. Returns false if
// `limit` passes first.
inline bool SubmitAll(const support::Cluster& cluster, const std::vector<Json>& jobs, int threads,
                      Duration limit) {
  std::atomic<size_t> next{0};
  std::atomic<bool> all_accepted{true};
  const TimePoint deadline = Now() + limit;
  std::vector<std::thread> pool;
  for (int n = 0; n < threads; ++n) {
    pool.emplace_back([&, n] {
      for (size_t it = next++; it < jobs.size(); it = next++) {
        int via = n;
        while (support::Send(cluster.Scheduler(via++ % cluster.entry_hosts()), "POST", "/v1/jobs",
                             jobs[it].dump())
                   .response.status != 200) {
          if (Now() >= deadline) {
            all_accepted.store(false);
            return;
          }
        }
      }
    });
  }
  for (std::thread& it : pool) it.join();
  return all_accepted.load();
}

struct TaskRun {
  std::string task;
  Endpoint worker;
  int64_t started_us = 0;
  bool running = false;
};

inline std::vector<TaskRun> AllRuns(const support::Cluster& cluster) {
  std::vector<TaskRun> runs;
  for (const Endpoint& worker : cluster.Workers()) {
    const Json answer = support::Get(worker, "/runs");
    if (answer.is_null()) continue;
    for (const Json& it : answer["runs"]) {
      runs.push_back({it["task"], worker, it["started_us"], it["state"] == "running"});
    }
  }
  return runs;
}

inline size_t RunningTasks(const support::Cluster& cluster) {
  const std::vector<TaskRun> runs = AllRuns(cluster);
  return static_cast<size_t>(
      std::count_if(runs.begin(), runs.end(), [](const TaskRun& it) { return it.running; }));
}

inline double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

}  // namespace pomelopond::bench

#endif  // POMELOPOND_BENCH_SUPPORT_TASK_BENCH_H_
