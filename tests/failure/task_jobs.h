// Provides jobs for the task failure tests, and checks of their runs against the records of the
// fake workers.
#ifndef POMELOPOND_TESTS_FAILURE_TASK_JOBS_H_
#define POMELOPOND_TESTS_FAILURE_TASK_JOBS_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/support/cluster.h"
#include "tests/support/runs.h"

namespace pomelopond::support {

// A `run_ms` of zero: the task runs until it is stopped.
inline constexpr int64_t kRunsUntilStopped = 0;
inline constexpr int kTasksPerJob = 4;

inline ClusterOptions TaskClusterOptions(int net) {
  ClusterOptions options;
  options.net = net;
  options.settings = {{"lease_ttl_ms", 6000},
                      {"exchange_interval_ms", 500},
                      {"member_ttl_ms", 2000},
                      {"store_timeout_ms", 1000}};
  return options;
}

inline Json MakeJobSpec(const std::string& id, int64_t run_ms) {
  return {{"id", id},         {"kind", run_ms == kRunsUntilStopped ? "service" : "batch"},
          {"team", "team"},   {"count", kTasksPerJob},
          {"run_ms", run_ms}, {"need", {{"cpu_milli", 500}, {"memory_mb", 10}}}};
}

// Submits the job to the schedulers of the hosts `via` in turn, with the same id, until one of them
// accepts it.
inline bool Submit(const Cluster& cluster, const Json& spec, const std::vector<int>& via) {
  size_t n = 0;
  return WaitUntil([&] {
    return Send(cluster.Scheduler(via[n++ % via.size()]), "POST", "/v1/jobs", spec.dump())
               .response.status == 200;
  });
}

inline std::vector<std::string> SubmitJobs(const Cluster& cluster, int jobs, int64_t run_ms,
                                           const std::vector<int>& via) {
  std::vector<std::string> ids;
  for (int n = 0; n < jobs; ++n) {
    ids.push_back("job-" + std::to_string(n));
    EXPECT_TRUE(Submit(cluster, MakeJobSpec(ids.back(), run_ms), via)) << ids.back();
  }
  return ids;
}

inline bool WaitForState(const Cluster& cluster, const std::vector<std::string>& jobs,
                         const std::string& state, int via) {
  return std::all_of(jobs.begin(), jobs.end(), [&](const std::string& job) {
    return WaitUntil(
        [&] { return AllTasksAre(state, Get(cluster.Scheduler(via), "/v1/jobs/" + job)); });
  });
}

// Returns the number of runs on all workers whose member `key` is `value`, by task.
inline std::map<std::string, int> CountRunsWith(const Cluster& cluster, const std::string& key,
                                                const Json& value) {
  std::map<std::string, int> count;
  for (const Endpoint& worker : cluster.Workers()) {
    const Json answer = Get(worker, "/runs");
    if (answer.is_null()) continue;
    for (const Json& it : answer["runs"]) {
      if (it[key] == value) count[it["task"]] += 1;
    }
  }
  return count;
}

// Returns a count of 1 for every task of the jobs.
inline std::map<std::string, int> OncePerTask(const std::vector<std::string>& jobs) {
  std::map<std::string, int> once;
  for (const std::string& job : jobs) {
    for (int n = 0; n < kTasksPerJob; ++n) once[job + "/" + std::to_string(n)] = 1;
  }
  return once;
}

// Returns the tasks with two runs of the same attempt, or with a run of a lower attempt after one
// of a higher attempt.
inline std::vector<std::string> RepeatedAttempts(const Cluster& cluster) {
  // Start time in microseconds and attempt of each run, by task.
  std::map<std::string, std::vector<std::pair<int64_t, int64_t>>> runs;
  for (const Endpoint& worker : cluster.Workers()) {
    const Json answer = Get(worker, "/runs");
    if (answer.is_null()) continue;
    for (const Json& it : answer["runs"]) {
      runs[it["task"]].emplace_back(it["started_us"].get<int64_t>(), it["attempt"].get<int64_t>());
    }
  }
  std::vector<std::string> repeated;
  for (auto& [task, list] : runs) {
    std::sort(list.begin(), list.end());
    const auto not_above = [](const auto& a, const auto& b) { return b.second <= a.second; };
    if (std::adjacent_find(list.begin(), list.end(), not_above) != list.end()) {
      repeated.push_back(task);
    }
  }
  return repeated;
}

// Expects that no task ran twice at once, no attempt ran twice and no worker exceeded its capacity.
inline void ExpectInvariantsHold(const Cluster& cluster) {
  EXPECT_EQ(OverlappingRuns(cluster), std::vector<std::string>{});
  EXPECT_EQ(RepeatedAttempts(cluster), std::vector<std::string>{});
  EXPECT_TRUE(CapacityHeld(cluster));
}

// Returns the epochs of the shards that the scheduler of `host` owns, by shard.
inline std::map<std::string, int64_t> OwnedShards(const Cluster& cluster, int host) {
  std::map<std::string, int64_t> shards;
  const Json answer = Get(cluster.Scheduler(host), "/v1/shards");
  if (answer.is_null()) return shards;
  for (const Json& it : answer["owned"]) shards[it["shard"]] = it["epoch"];
  return shards;
}

// Returns whether the schedulers of `hosts` together own all of `shards`.
inline bool AllShardsOwnedBy(const Cluster& cluster, const std::map<std::string, int64_t>& shards,
                             const std::vector<int>& hosts) {
  std::map<std::string, int64_t> owned;
  for (const int it : hosts) owned.merge(OwnedShards(cluster, it));
  return std::all_of(shards.begin(), shards.end(),
                     [&owned](const auto& it) { return owned.count(it.first) != 0; });
}

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_FAILURE_TASK_JOBS_H_
