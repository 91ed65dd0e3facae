// Measures the sustained rate of task starts when the store has its planned latency and rates.
#include <cxxopts.hpp>

#include "bench/support/bench_result.h"
#include "bench/support/task_bench.h"

namespace pomelopond::bench {
namespace {

constexpr int kTasksPerJob = 10;
constexpr int kSubmitters = 16;
constexpr int64_t kRunMs = 2000;
constexpr double kRateTarget = 840;
// Ratio of the submission rate to the target rate. Starts are counted from the workers' records,
// and jobs are submitted slightly faster than the target rate.
constexpr double kPace = 1.02;

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-starts", "Sustained rate of task starts");
  options.add_options()("seconds", "length", cxxopts::value<int>()->default_value("60"))(
      "seed", "accepted by every benchmark; unused, as nothing is random",
      cxxopts::value<int64_t>()->default_value("1"));
  const auto args = options.parse(argc, argv);
  const int seconds = args["seconds"].as<int>();
  support::ClusterOptions cluster_options;
  cluster_options.net = 222;
  cluster_options.entry_hosts = 6;
  cluster_options.racks_per_domain = 2;
  cluster_options.hosts_per_rack = 8;
  support::Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return Report("starts", {{"started", 0}}, false);
  support::SetFault(cluster.store(), PlannedStore());
  const auto jobs = static_cast<int64_t>(kRateTarget * kPace * seconds / kTasksPerJob);
  const Json before = support::Get(cluster.store(), "/statistics");
  const TimePoint start = Now();
  std::vector<TimePoint> sent(static_cast<size_t>(jobs));
  std::vector<double> acceptance(static_cast<size_t>(jobs), -1);
  std::atomic<size_t> next{0};
  std::vector<std::thread> pool;
  for (int n = 0; n < kSubmitters; ++n) {
    pool.emplace_back([&, n] {
      for (size_t it = next++; it < sent.size(); it = next++) {
        const TimePoint due =
            start + Duration(static_cast<int64_t>(1e6 * seconds * static_cast<double>(it) /
                                                  static_cast<double>(jobs)));
        std::this_thread::sleep_for(due - Now());
        // Latency is measured from the due time of the job, so delays of a stalled submitter count.
        sent[it] = due;
        Json job = ServiceJob("job-" + std::to_string(it), kTasksPerJob, 50);
        job["kind"] = "batch";
        job["run_ms"] = kRunMs;
        if (!SubmitAll(cluster, {job}, 1, std::chrono::seconds(30))) continue;
        acceptance[it] = std::chrono::duration<double, std::milli>(Now() - due).count();
      }
      (void)n;
    });
  }
  for (std::thread& it : pool) it.join();
  const double elapsed = std::chrono::duration<double>(Now() - start).count();
  const Json after = support::Get(cluster.store(), "/statistics");
  const auto expected = static_cast<size_t>(jobs * kTasksPerJob);
  support::WaitUntil([&] { return AllRuns(cluster).size() >= expected; }, std::chrono::seconds(60));
  std::vector<double> latency;
  int64_t last = 0;
  for (const TaskRun& it : AllRuns(cluster)) {
    const size_t job = std::stoul(it.task.substr(4));
    const int64_t due = sent[job].time_since_epoch().count();
    latency.push_back(static_cast<double>(it.started_us - due) / 1000);
    last = std::max(last, it.started_us);
  }
  const double span = static_cast<double>(last - start.time_since_epoch().count()) / 1e6;
  const double rate = static_cast<double>(latency.size()) / span;
  const auto refused = std::count(acceptance.begin(), acceptance.end(), -1.0);
  const double writes = (after["writes"].get<double>() - before["writes"].get<double>()) / elapsed;
  const double reads = (after["reads"].get<double>() - before["reads"].get<double>()) / elapsed;
  const double overlapping_runs = static_cast<double>(support::OverlappingRuns(cluster).size());
  return Report(
      "starts",
      {{"starts_per_s", rate},
       {"span_s", span},
       {"writes_per_s", writes},
       {"reads_per_s", reads},
       {"jobs_not_accepted", static_cast<double>(refused)},
       {"accept_p50_ms", Percentile(acceptance, 0.5)},
       {"accept_p99_ms", Percentile(acceptance, 0.99)},
       {"start_p50_ms", Percentile(latency, 0.5)},
       {"start_p99_ms", Percentile(latency, 0.99)},
       {"in_two_places", overlapping_runs}},
      rate >= kRateTarget && refused == 0 && latency.size() == expected && overlapping_runs == 0);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
