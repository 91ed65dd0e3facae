// Measures how the cost of a decision grows with the shape of jobs: processor time of a decision
// beside gangs that fit nowhere, by members, by workers and by gangs, and beside the largest gang
// that fits.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "bench/support/bench_result.h"
#include "tests/dispatch/scenario.h"

namespace pomelopond::bench {
namespace {

using dispatch::Scenario;

// Processor time that a host with a tenth of a core has between two renewals of its ownership.
constexpr double kTargetMs = 50;
constexpr int kDecisions = 20;

struct Shape {
  int workers = 8;
  int gangs = 1;
  int members = 1000;
  bool fits = false;
};

double ProcessorMs() {
  timespec it{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return static_cast<double>(it.tv_sec) * 1e3 + static_cast<double>(it.tv_nsec) / 1e6;
}

// The workers have room for each member, but a gang that does not fit may have too few on each.
jobs::Step GangOf(const Shape& shape) {
  jobs::Step step = dispatch::MakeStep(shape.members, 1);
  step.request.memory_mb = 0;
  step.gang = true;
  step.estimate_ms = 300;
  step.max_per_worker = shape.fits ? 0 : std::max(1, shape.members / shape.workers - 1);
  return step;
}

// Returns the processor time of the longest decision.
double LongestDecisionMs(const Shape& shape) {
  constexpr int kGangsPerJob = 100;
  Scenario it;
  std::vector<dispatch::WorkerInfo> workers;
  for (int n = 1; n <= shape.workers; ++n) {
    workers.push_back(dispatch::MakeWorker("w" + std::to_string(n)));
  }
  it.AddWorkers(workers);
  for (int left = shape.gangs; left > 0; left -= kGangsPerJob) {
    const auto steps = static_cast<size_t>(std::min(left, kGangsPerJob));
    const std::string id = std::to_string(1000000000000000 + left);
    it.dispatcher.AddJob(dispatch::MakeJob(id, std::vector<jobs::Step>(steps, GangOf(shape))), {},
                         false);
  }
  double longest = 0;
  for (int n = 0; n < kDecisions; ++n) {
    it.Advance(std::chrono::milliseconds(50));
    const double began = ProcessorMs();
    it.Decide();
    longest = std::max(longest, ProcessorMs() - began);
  }
  return longest;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("hard-jobs", "Cost of a decision beside jobs of hard shape");
  options.add_options()("seed", "has no effect: the load is not random", cxxopts::value<int>());
  options.parse(argc, argv);
  std::vector<Shape> shapes;
  for (const int members : {1000, 3000, 10000}) shapes.push_back({8, 1, members, false});
  for (const int workers : {48, 350, 1100}) shapes.push_back({workers, 1, 10000, false});
  for (const int gangs : {10, 100, 1000}) shapes.push_back({48, gangs, 1000, false});
  for (const int members : {1000, 3000, 10000}) shapes.push_back({8, 1, members, true});
  std::printf("%8s %6s %8s %5s %12s\n", "workers", "gangs", "members", "fits", "decision ms");
  double worst = 0;
  double worst_start = 0;
  for (const Shape& it : shapes) {
    const double ms = LongestDecisionMs(it);
    std::printf("%8d %6d %8d %5s %12.2f\n", it.workers, it.gangs, it.members,
                it.fits ? "yes" : "no", ms);
    std::fflush(stdout);
    double& longest = it.fits ? worst_start : worst;
    longest = std::max(longest, ms);
  }
  return Report("hard-jobs",
                {{"waiting_ms", worst}, {"starting_ms", worst_start}, {"target_ms", kTargetMs}},
                worst <= kTargetMs);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
