// Counts the tasks that stop because the store is down. `--factor F` divides the run lease, the
// exchange interval, the membership lease and the length of the outage by F.
#include <cxxopts.hpp>

#include "bench/support/bench_result.h"
#include "bench/support/task_bench.h"

namespace pomelopond::bench {
namespace {

constexpr int64_t kTasksPerJob = 20;
constexpr int kSubmitters = 4;

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-store-outage", "Tasks stopped by an outage of the store");
  options.add_options()("tasks", "running tasks", cxxopts::value<int64_t>()->default_value("2000"))(
      "seconds", "length of the outage before division",
      cxxopts::value<int>()->default_value("60"))("factor", "compression of time, 1 to 5",
                                                  cxxopts::value<int>()->default_value("1"))(
      "fault", "outage (calls are refused) or hang (calls are not answered)",
      cxxopts::value<std::string>()->default_value("hang"))(
      "net", "loopback network", cxxopts::value<int>()->default_value("221"))(
      "seed", "accepted for uniformity; nothing is drawn",
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
  const bool all = SubmitAll(cluster, jobs, kSubmitters, std::chrono::seconds(60)) &&
                   support::WaitUntil([&] { return RunningTasks(cluster) == expected; });
  if (!all) {
    return Report("store-outage", {{"running", static_cast<double>(RunningTasks(cluster))}}, false);
  }
  support::SetFault(cluster.store(), {{args["fault"].as<std::string>(), true}});
  const double length = static_cast<double>(args["seconds"].as<int>()) / factor;
  std::this_thread::sleep_for(Duration(static_cast<int64_t>(length * 1e6)));
  const TimePoint ended = Now();
  support::SetFault(cluster.store(), PlannedStore());
  const bool accepts =
      SubmitAll(cluster, {ServiceJob("after", 1, 50)}, 1, std::chrono::seconds(60));
  const double back = std::chrono::duration<double>(Now() - ended).count();
  // Members return and shards settle within two membership leases; takeovers would show by then.
  std::this_thread::sleep_for(std::chrono::milliseconds(2 * 10000 / factor));
  int64_t stopped = 0;
  for (const TaskRun& it : AllRuns(cluster)) stopped += it.running ? 0 : 1;
  const double doubled = static_cast<double>(support::OverlappingRuns(cluster).size());
  return Report("store-outage",
                {{"tasks", static_cast<double>(tasks)},
                 {"outage_s", length},
                 {"factor", static_cast<double>(factor)},
                 {"stopped", static_cast<double>(stopped)},
                 {"in_two_places", doubled},
                 {"accepts_again_s", back}},
                accepts && stopped == 0 && doubled == 0);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
