// Measures the latency that one router adds to a direct request to a target, and the requests that
// the router forwards per second of CPU time.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "bench/support/bench_result.h"
#include "tests/support/cluster.h"
#include "tests/support/raw_client.h"

namespace pomelopond::bench {
namespace {

using support::Cluster;

constexpr Duration kCallTimeout = std::chrono::seconds(30);
// Fields 14 and 15 of /proc/<pid>/stat are the user and system time in clock ticks.
constexpr int kUserTimeField = 14;

struct Sample {
  std::vector<double> microseconds;  // request latencies, ascending
  double seconds = 0;
  int64_t failed = 0;
};

double ProcessSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // The second field is the program name in parentheses, which may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int n = 3; n < kUserTimeField; ++n) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

Sample Measure(const std::vector<Endpoint>& endpoints, const std::string& path, int callers,
               int64_t requests) {
  std::vector<std::vector<double>> times(static_cast<size_t>(callers));
  std::atomic<int64_t> failed{0};
  const TimePoint start = Now();
  std::vector<std::thread> threads;
  for (int n = 0; n < callers; ++n) {
    threads.emplace_back([&, n] {
      support::RawClient client(endpoints[static_cast<size_t>(n) % endpoints.size()]);
      http::HttpRequest request;
      request.method = "POST";
      request.path = path;
      request.body = std::string(200, 'x');
      for (int64_t it = 0; it < requests / callers; ++it) {
        const auto begin = std::chrono::steady_clock::now();
        const auto response = client.Call(request, kCallTimeout);
        const std::chrono::duration<double, std::micro> took =
            std::chrono::steady_clock::now() - begin;
        if (!response || response->status != 200) failed.fetch_add(1);
        times[static_cast<size_t>(n)].push_back(took.count());
      }
    });
  }
  for (std::thread& it : threads) it.join();
  Sample sample;
  sample.seconds = std::chrono::duration<double>(Now() - start).count();
  sample.failed = failed.load();
  for (const auto& it : times) {
    sample.microseconds.insert(sample.microseconds.end(), it.begin(), it.end());
  }
  std::sort(sample.microseconds.begin(), sample.microseconds.end());
  return sample;
}

double Quantile(const Sample& sample, double q) {
  const auto n = static_cast<size_t>(q * static_cast<double>(sample.microseconds.size() - 1));
  return sample.microseconds[n];
}

int Run(int callers, int64_t requests) {
  support::ClusterOptions options;
  options.net = 213;
  options.entry_hosts = 1;
  options.service_ms = 0;
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return 1;
  const std::string path = "/v1/services/svc/quote";
  const pid_t router = cluster.ProgramOf("router", 0).pid();
  // The warm-up opens the connections of the router.
  Measure({cluster.Router(0)}, path, callers, requests / 10);
  const Sample direct = Measure(cluster.Targets(), "/quote", callers, requests);
  const double before = ProcessSeconds(router);
  const Sample routed = Measure({cluster.Router(0)}, path, callers, requests);
  const double busy = ProcessSeconds(router) - before;
  const int64_t failed = direct.failed + routed.failed;
  const auto total = static_cast<double>(routed.microseconds.size());
  return Report("routing-overhead",
                {{"callers", static_cast<double>(callers)},
                 {"requests", total},
                 {"direct_p50_us", Quantile(direct, 0.5)},
                 {"direct_p99_us", Quantile(direct, 0.99)},
                 {"direct_p999_us", Quantile(direct, 0.999)},
                 {"added_p50_us", Quantile(routed, 0.5) - Quantile(direct, 0.5)},
                 {"added_p99_us", Quantile(routed, 0.99) - Quantile(direct, 0.99)},
                 {"added_p999_us", Quantile(routed, 0.999) - Quantile(direct, 0.999)},
                 {"per_second", total / routed.seconds},
                 {"per_core_second", total / busy},
                 {"failed", static_cast<double>(failed)}},
                failed == 0);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options flags("routing-overhead", "Latency and CPU time that the router adds");
  flags.add_options()("seed", "accepted by every benchmark; unused, as nothing is random",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "callers", "callers", cxxopts::value<int>()->default_value("4"))(
      "requests", "requests", cxxopts::value<int64_t>()->default_value("40000"));
  const cxxopts::ParseResult args = flags.parse(argc, argv);
  return pomelopond::bench::Run(args["callers"].as<int>(), args["requests"].as<int64_t>());
}
