// Measures what the start of a task with its end costs the owner of the pool: the processor time,
// wake-ups and calls of the real entry program beside stand-ins of the store and of the workers, at
// three sizes of the pool.
#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bench/support/bench_result.h"
#include "bench/support/owner_load.h"

namespace pomelopond::bench {
namespace {

OwnerLoad ReadLoad(int argc, char** argv, std::vector<int>* sizes) {
  cxxopts::Options options("owner-cost", "Cost of a task for the owner of the pool");
  options.add_options()("workers", "sizes of the pool",
                        cxxopts::value<std::vector<int>>()->default_value("48,350,1100"))(
      "starts", "starts per second", cxxopts::value<int>()->default_value("400"))(
      "seconds", "length of the window", cxxopts::value<int>()->default_value("5"))(
      "seed", "has no effect: the load is not random", cxxopts::value<int>());
  const cxxopts::ParseResult args = options.parse(argc, argv);
  *sizes = args["workers"].as<std::vector<int>>();
  OwnerLoad load;
  load.starts_per_second = args["starts"].as<int>();
  load.window = std::chrono::seconds(args["seconds"].as<int>());
  return load;
}

void PrintRow(int workers, const OwnerCost& cost) {
  std::printf("%7d %8.0f %10.2f %9.1f %9.2f %7.0f", workers, cost.starts_per_second,
              cost.ends_per_start, cost.processor_us, cost.context_switches, cost.bytes);
  for (const double it : cost.calls) std::printf(" %6.2f", it);
  std::printf(" %8.1f\n", cost.peak_memory_mb);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  std::vector<int> sizes;
  OwnerLoad load = ReadLoad(argc, argv, &sizes);
  std::printf("per start with its end\n");
  std::printf("%7s %8s %10s %9s %9s %7s %6s %6s %6s %6s %8s\n", "workers", "starts/s", "ends/start",
              "us", "switches", "bytes", "start", "stop", "hold", "pace", "peak MB");
  Figures figures = {{"target_us", kTargetUsPerStart}};
  double worst = 0;
  for (const int it : sizes) {
    load.workers = it;
    const std::optional<OwnerCost> cost = MeasureOwnerCost(load);
    if (!cost) {
      std::printf("%7d: the tasks did not start in time\n", it);
      return Report("owner-cost", figures, false);
    }
    PrintRow(it, *cost);
    figures.emplace_back("us_" + std::to_string(it), cost->processor_us);
    worst = std::max(worst, cost->processor_us);
  }
  return Report("owner-cost", figures, worst <= kTargetUsPerStart);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
