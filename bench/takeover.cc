// Kills the owner of several shards while tasks run. Measures the time to the first new start on
// those shards and checks that no running task was lost, run in two places, placed over capacity or
// evicted.
#include <cxxopts.hpp>
#include <set>

#include "bench/support/bench_result.h"
#include "bench/support/task_bench.h"
#include "membership/shard_assignment.h"

namespace pomelopond::bench {
namespace {

constexpr int64_t kTasksPerJob = 100;
constexpr int kNewJobs = 60;
constexpr int kSubmitters = 8;

struct TakeoverResult {
  double lost = 0;
  double evicted = 0;
  double first_start_s = -1;
};

// Tasks of the jobs "old-N" must keep running undisturbed. Tasks of the jobs "new-N" are submitted
// after the kill.
TakeoverResult EvaluateTakeover(const support::Cluster& cluster, int64_t tasks,
                                const std::set<std::string>& moved, TimePoint killed_at) {
  std::set<std::string> moved_workers;
  for (const auto& [id, host] : cluster.hosts().hosts) {
    if (moved.count(membership::ShardOf(host)) != 0) moved_workers.insert(ToString(host.worker));
  }
  TakeoverResult result;
  std::set<std::string> running;
  std::map<std::string, int> starts;
  for (const TaskRun& it : AllRuns(cluster)) {
    if (it.task.rfind("old-", 0) == 0) {
      starts[it.task] += 1;
      if (it.running) running.insert(it.task);
      continue;
    }
    if (moved_workers.count(ToString(it.worker)) == 0) continue;
    const double after =
        static_cast<double>(it.started_us - killed_at.time_since_epoch().count()) / 1e6;
    const bool first = result.first_start_s < 0 || after < result.first_start_s;
    if (after >= 0 && first) result.first_start_s = after;
  }
  result.lost = static_cast<double>(tasks) - static_cast<double>(running.size());
  for (const auto& [task, count] : starts) result.evicted += count - 1;
  return result;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-takeover", "Duration and safety of a shard takeover");
  options.add_options()("tasks", "running tasks",
                        cxxopts::value<int64_t>()->default_value("50000"))(
      "seed", "accepted by every benchmark; unused, as nothing is random",
      cxxopts::value<int64_t>()->default_value("1"));
  const auto args = options.parse(argc, argv);
  const int64_t tasks = args["tasks"].as<int64_t>() / kTasksPerJob * kTasksPerJob;
  support::ClusterOptions cluster_options;
  cluster_options.net = 220;
  cluster_options.entry_hosts = 6;
  cluster_options.racks_per_domain = 2;
  cluster_options.hosts_per_rack = 8;
  support::Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return Report("takeover", {{"started", 0}}, false);
  support::SetFault(cluster.store(), PlannedStore());
  std::vector<Json> jobs;
  for (int64_t n = 0; n < tasks / kTasksPerJob; ++n) {
    jobs.push_back(ServiceJob("old-" + std::to_string(n), kTasksPerJob, 8));
  }
  const bool all_running =
      SubmitAll(cluster, jobs, kSubmitters, std::chrono::seconds(120)) &&
      support::WaitUntil([&] { return RunningTasks(cluster) == static_cast<size_t>(tasks); },
                         std::chrono::seconds(120));
  if (!all_running) {
    return Report("takeover", {{"running", static_cast<double>(RunningTasks(cluster))}}, false);
  }
  // Selects the entry host that owns the most shards, except host 0, which clients contact first.
  int owner = 1;
  std::set<std::string> moved;
  for (int n = 1; n < cluster.entry_hosts(); ++n) {
    const Json answer = support::Get(cluster.Scheduler(n), "/v1/shards");
    if (answer.is_null() || answer["owned"].size() <= moved.size()) continue;
    owner = n;
    moved.clear();
    for (const Json& it : answer["owned"]) moved.insert(it["shard"]);
  }
  const TimePoint killed_at = Now();
  cluster.ProgramOf("scheduler", owner).Kill();
  std::vector<Json> added;
  for (int n = 0; n < kNewJobs; ++n) added.push_back(ServiceJob("new-" + std::to_string(n), 1, 8));
  const bool accepted = SubmitAll(cluster, added, kSubmitters, std::chrono::seconds(60));
  const size_t expected = static_cast<size_t>(tasks) + added.size();
  support::WaitUntil([&] { return RunningTasks(cluster) >= expected; }, std::chrono::seconds(60));
  const TakeoverResult result = EvaluateTakeover(cluster, tasks, moved, killed_at);
  const double overlapping_runs = static_cast<double>(support::OverlappingRuns(cluster).size());
  const bool capacity = support::CapacityHeld(cluster);
  const bool held = accepted && result.lost == 0 && result.evicted == 0 && overlapping_runs == 0 &&
                    capacity && result.first_start_s >= 0;
  return Report("takeover",
                {{"tasks", static_cast<double>(tasks)},
                 {"shards_moved", static_cast<double>(moved.size())},
                 {"first_start_s", result.first_start_s},
                 {"lost", result.lost},
                 {"in_two_places", overlapping_runs},
                 {"over_capacity", capacity ? 0.0 : 1.0},
                 {"evicted", result.evicted}},
                held);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
