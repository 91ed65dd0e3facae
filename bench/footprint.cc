// Measures the memory and CPU time of each program of an entry host in a deployment of today's size
// without load, which is the cost of the control plane alone.
#include <unistd.h>

#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

#include "bench/support/bench_result.h"
#include "tests/support/cluster.h"

namespace pomelopond::bench {
namespace {

// The required limits of each daemon: 2% of a core and 32 MB of resident memory.
constexpr double kMaxCorePercent = 2;
constexpr double kMaxMegabytes = 32;

double ResidentMegabytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stod(line.substr(6)) / 1024;
  }
  return 0;
}

// Returns the user and system CPU time that the process has used so far, in seconds.
double ProcessorSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int n = 0; n < 11; ++n) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-footprint",
                           "CPU and memory of each control program without load");
  options.add_options()("seconds", "length of the measurement in seconds",
                        cxxopts::value<int>()->default_value("30"))(
      "hosts", "entry hosts", cxxopts::value<int>()->default_value("8"))(
      "seed", "accepted by every benchmark; unused, as nothing is random",
      cxxopts::value<uint32_t>()->default_value("1"));
  const cxxopts::ParseResult args = options.parse(argc, argv);
  support::ClusterOptions cluster_options;
  cluster_options.net = 233;
  cluster_options.entry_hosts = args["hosts"].as<int>();
  cluster_options.failure_domains = 4;
  cluster_options.racks_per_domain = 2;
  cluster_options.hosts_per_rack = 6;
  support::Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return 1;
  std::this_thread::sleep_for(std::chrono::seconds(5));
  const int seconds = args["seconds"].as<int>();
  const Json before = support::Get(cluster.store(), "/statistics");
  std::map<std::string, double> used;
  for (const char* program : {"admin", "router", "scheduler"}) {
    for (int n = 0; n < cluster.entry_hosts(); ++n) {
      used[program] -= ProcessorSeconds(cluster.ProgramOf(program, n).pid());
    }
  }
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  Figures figures;
  bool held = true;
  for (const char* program : {"admin", "router", "scheduler"}) {
    double megabytes = 0;
    for (int n = 0; n < cluster.entry_hosts(); ++n) {
      const pid_t pid = cluster.ProgramOf(program, n).pid();
      used[program] += ProcessorSeconds(pid);
      megabytes = std::max(megabytes, ResidentMegabytes(pid));
    }
    const double percent = used[program] / seconds / cluster.entry_hosts() * 100;
    figures.emplace_back(std::string(program) + "_core_percent", percent);
    figures.emplace_back(std::string(program) + "_max_mb", megabytes);
    held = held && percent <= kMaxCorePercent && megabytes <= kMaxMegabytes;
  }
  const Json after = support::Get(cluster.store(), "/statistics");
  for (const char* it : {"writes", "reads"}) {
    figures.emplace_back(std::string("store_") + it + "_per_s",
                         (after[it].get<double>() - before[it].get<double>()) / seconds);
  }
  return Report("footprint", figures, held);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
