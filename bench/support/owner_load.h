// Measures from outside what one task costs the process of the pool's owner.
#ifndef POMELOPOND_BENCH_SUPPORT_OWNER_LOAD_H_
#define POMELOPOND_BENCH_SUPPORT_OWNER_LOAD_H_

#include <array>
#include <optional>

#include "base/time.h"
#include "bench/support/worker_pool.h"

namespace pomelopond::bench {

// The large deployment asks for 2,400 starts a second of an owner with half a core.
inline constexpr double kTargetUsPerStart = 0.5 * 1e6 / 2400;

struct OwnerLoad {
  int workers = 0;
  int starts_per_second = 400;
  Duration settle = std::chrono::seconds(5);  // from the first task to the window
  Duration window = std::chrono::seconds(5);
};

// Per start that the workers carried out in the window, with the end of a task.
struct OwnerCost {
  double starts_per_second = 0;
  double ends_per_start = 0;
  double processor_us = 0;
  double context_switches = 0;  // voluntary
  double bytes = 0;             // between the owner and the workers, both ways
  std::array<double, kWorkerPaths> calls{};
  double peak_memory_mb = 0;
};

// Starts the entry program with stand-ins of the store and of the workers. Best-effort tasks of 1 s
// start at a steady rate beside serving tasks. Returns nothing if the program does not get ready or
// the tasks do not start in time.
std::optional<OwnerCost> MeasureOwnerCost(const OwnerLoad& load);

}  // namespace pomelopond::bench

#endif  // POMELOPOND_BENCH_SUPPORT_OWNER_LOAD_H_
