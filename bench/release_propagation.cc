// Measures the time from the acceptance of a note until it is in force in every process of all
// entry hosts, including rounds in which one admin is paused and resumed and another is killed and
// restarted. One host is cut off from the store throughout.
#include <signal.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <thread>
#include <vector>

#include "bench/support/bench_result.h"
#include "tests/support/cluster.h"
#include "tests/support/release_calls.h"

namespace pomelopond::bench {
namespace {

constexpr double kTargetMs = 4000;
constexpr Duration kPropagationTimeout = std::chrono::seconds(30);
constexpr int kPausedHost = 5;     // host whose admin is paused in every 10th round
constexpr int kRestartedHost = 6;  // host whose admin is killed and started in every 10th round

double Milliseconds(Duration value) { return static_cast<double>(value.count()) / 1000; }

double Quantile(const std::vector<double>& sorted, double q) {
  return sorted[static_cast<size_t>(q * static_cast<double>(sorted.size() - 1))];
}

// Waits until every process of the host has `version` or a later one in force; returns false on
// timeout.
bool WaitUntilInForce(const support::Cluster& cluster, int host, int64_t version) {
  const auto in_force = [&cluster, host, version] {
    return support::RouterVersion(cluster.Router(host)) >= version &&
           support::SchedulerVersion(cluster.Scheduler(host)) >= version;
  };
  if (support::WaitUntil(in_force, kPropagationTimeout)) return true;
  std::printf("host %d: release %lld wanted, router %lld, scheduler %lld\n", host,
              static_cast<long long>(version),
              static_cast<long long>(support::RouterVersion(cluster.Router(host))),
              static_cast<long long>(support::SchedulerVersion(cluster.Scheduler(host))));
  return false;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-release-propagation",
                           "Time until an accepted note is in force everywhere");
  options.add_options()("notes", "number", cxxopts::value<int>()->default_value("1000"))(
      "hosts", "entry hosts", cxxopts::value<int>()->default_value("8"))(
      "seed", "accepted by every benchmark; unused, as nothing is random",
      cxxopts::value<uint32_t>()->default_value("1"));
  const cxxopts::ParseResult args = options.parse(argc, argv);
  support::ClusterOptions cluster_options;
  cluster_options.net = 232;
  cluster_options.entry_hosts = args["hosts"].as<int>();
  cluster_options.hosts_per_rack = 1;
  cluster_options.cut_off_host = cluster_options.entry_hosts - 1;
  support::Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.ApplyNote(support::AddService(0, "first"))) return 1;
  const int hosts = cluster_options.entry_hosts;
  for (int n = 0; n < hosts; ++n) {
    if (!WaitUntilInForce(cluster, n, 1)) return 1;
  }
  const Json before = support::Get(cluster.store(), "/statistics");
  const TimePoint start = Now();
  std::vector<double> times;
  int failed = 0;
  for (int note = 1; note <= args["notes"].as<int>(); ++note) {
    const bool inject_faults = note % 10 == 0 && hosts > kRestartedHost;
    if (inject_faults) {
      cluster.ProgramOf("admin", kPausedHost).Signal(SIGSTOP);
      cluster.ProgramOf("admin", kRestartedHost).Kill();
    }
    const http::HttpResult result = support::PostNote(
        cluster.Admin(0), support::AddService(note, "svc-" + std::to_string(note)), false);
    const TimePoint accepted = Now();
    if (inject_faults) {
      cluster.ProgramOf("admin", kPausedHost).Signal(SIGCONT);
      cluster.StartProgram("admin", kRestartedHost);
    }
    if (result.response.status != 200) {
      failed += 1;
      break;
    }
    for (int n = 0; n < hosts; ++n) failed += WaitUntilInForce(cluster, n, note + 1) ? 0 : 1;
    times.push_back(Milliseconds(Now() - accepted));
  }
  const Json after = support::Get(cluster.store(), "/statistics");
  if (times.empty()) return 1;
  std::sort(times.begin(), times.end());
  const double seconds = Milliseconds(Now() - start) / 1000;
  const double writes = after["writes"].get<double>() - before["writes"].get<double>();
  const double reads = after["reads"].get<double>() - before["reads"].get<double>();
  return Report("release-propagation",
                {{"notes", static_cast<double>(times.size())},
                 {"p50_ms", Quantile(times, 0.5)},
                 {"p99_ms", Quantile(times, 0.99)},
                 {"max_ms", times.back()},
                 {"failed", failed},
                 {"store_writes_per_s", writes / seconds},
                 {"store_reads_per_s", reads / seconds}},
                failed == 0 && times.back() <= kTargetMs);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
