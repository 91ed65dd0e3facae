// Provides shared helpers for the benchmarks of the pool owner's decisions.
#ifndef POMELOPOND_BENCH_SUPPORT_DISPATCH_BENCH_H_
#define POMELOPOND_BENCH_SUPPORT_DISPATCH_BENCH_H_

#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>

#include "tests/dispatch/scenario.h"

namespace pomelopond::bench {

// An owner limited to 10% of a core spends at most half of that on 100 task ends per second.
inline constexpr double kMaxDecisionUs = 500;
// After this time a decision places waiting tasks again, however many they are.
inline constexpr Duration kBetweenPlacements = std::chrono::milliseconds(50);

// Returns the CPU time of this process in microseconds. Unlike wall time, other programs do not
// affect it.
inline double ProcessorUs() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC * 1e6; }

inline std::string JobId(int n) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", n);
  return id;
}

// Returns job `n`, whose second step starts after the first one. Both are like `step`.
inline jobs::Job TwoStepJob(int n, const jobs::Step& step, int priority, int64_t age_ms) {
  jobs::Step second = step;
  second.after = {0};
  jobs::Job job = dispatch::MakeJob(JobId(n), {step, second});
  job.rules.priority = priority;
  job.rules.stretch = 2;
  job.rules.target_duration_ms = 1000;
  job.accepted_ms = dispatch::kWallStart - age_ms;
  return job;
}

// Starts waiting tasks until a decision starts none.
inline void StartAllThatFit(dispatch::Scenario* it) {
  do {
    it->Advance(kBetweenPlacements);
    it->Decide();
    it->ConfirmStarts();
    it->CommitAll();
  } while (!it->orders.starts.empty());
}

}  // namespace pomelopond::bench

#endif  // POMELOPOND_BENCH_SUPPORT_DISPATCH_BENCH_H_
