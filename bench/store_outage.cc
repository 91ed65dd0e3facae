// Counts the tasks that stop because of a store outage. `--factor F` divides the run lease, the
// exchange interval, the membership lease and the length of the outage by F.
#include <cxxopts.hpp>

#include "bench/support/bench_result.h"
#include "bench/support/task_bench.h"

namespace pomelopond::bench {
namespace {

constexpr int64_t kTasksPerJob = 20;
constexpr int kSubmitters = 4;

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-store-outage", "Tasks stopped by a store outage");
  options.add_options()("tasks", "running tasks", cxxopts::value<int64_t>()->default_value("2000"))(
      "seconds", "length of the outage before division by the factor",
      cxxopts::value<int>()->default_value("60"))("factor", "time compression factor, 1 to 5",
                                                  cxxopts::value<int>()->default_value("1"))(
      "fault", "outage (calls are refused) or hang (calls are not answered)",
      cxxopts::value<std::string>()->default_value("hang"))(
      "net", "number of the loopback network", cxxopts::value<int>()->default_value("221"))(
      "seed", "accepted by every benchmark; unused, as nothing is random",
      cxxopts::value<int64_t>()->default_value("1"));
  const auto args = options.parse(argc, argv);
  const int factor = std::clamp(args["factor"].as<int>(), 1, 5);
  const int64_t tasks = args["tasks"].as<int64_t>() / kTasksPerJob * kTasksPerJob;
  support::ClusterOptions cluster_options;
  cluster_options.net = args["net"].as<int>();
  cluster_options.hosts_per_rack = 4;
  cluster_options.settings = {{"lease_ttl_ms", 20000 / factor},
                              {"exchange_interval_ms", 2000 / factor},
                              {"member_ttl_ms", 10000 / factor}};
  support::Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return Report("store-outage", {{"started", 0}}, false);
  support::SetFault(cluster.store(), PlannedStore());
  std::vector<Json> jobs;
  for (int64_t n = 0; n < tasks / kTasksPerJob; ++n) {
    jobs.push_back(ServiceJob("job-" + std::to_string(n), kTasksPerJob, 50));
  }
  const auto expected = static_cast<size_t>(tasks);
  const bool all_running = SubmitAll(cluster, jobs, kSubmitters, std::chrono::seconds(60)) &&
                           support::WaitUntil([&] { return RunningTasks(cluster) == expected; });
  if (!all_running) {
    return Report("store-outage", {{"running", static_cast<double>(RunningTasks(cluster))}}, false);
  }
  support::SetFault(cluster.store(), {{args["fault"].as<std::string>(), true}});
  const double outage_seconds = static_cast<double>(args["seconds"].as<int>()) / factor;
  std::this_thread::sleep_for(Duration(static_cast<int64_t>(outage_seconds * 1e6)));
  const TimePoint ended = Now();
  support::SetFault(cluster.store(), PlannedStore());
  const bool accepted =
      SubmitAll(cluster, {ServiceJob("after", 1, 50)}, 1, std::chrono::seconds(60));
  const double recovery_seconds = std::chrono::duration<double>(Now() - ended).count();
  // Members rejoin and shard ownership stabilizes within two membership leases, so any takeover has
  // happened by then.
  std::this_thread::sleep_for(std::chrono::milliseconds(2 * 10000 / factor));
  int64_t stopped = 0;
  for (const TaskRun& it : AllRuns(cluster)) stopped += it.running ? 0 : 1;
  const double overlapping_runs = static_cast<double>(support::OverlappingRuns(cluster).size());
  return Report("store-outage",
                {{"tasks", static_cast<double>(tasks)},
                 {"outage_s", outage_seconds},
                 {"factor", static_cast<double>(factor)},
                 {"stopped", static_cast<double>(stopped)},
                 {"in_two_places", overlapping_runs},
                 {"accepts_again_s", recovery_seconds}},
                accepted && stopped == 0 && overlapping_runs == 0);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
