// Measures how the cost of placement grows with the fleet: time per decision, bytes per task and
// bytes per host.
//
// Each case fills its hosts with tasks of mixed sizes from 490 teams and leaves a tenth of the
// tasks waiting. Then it repeats one step: a random task finishes, and the capacity that it frees
// is given to a waiting task. A decision covers the whole step: applying the end, choosing a task
// and applying the grant. One new job arrives for every ten ends, which keeps the number of waiting
// tasks constant.
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <random>
#include <string>
#include <vector>

#include "bench/support/bench_result.h"
#include "planning/placement.h"

namespace pomelopond::bench {
namespace {

constexpr double kMaxDecisionUs = 100;
// CPU caches hold a smaller part of a larger shard, so some growth is expected. A linear scan would
// grow by a factor of 120 from 100 to 12,000 hosts.
constexpr double kMaxGrowth = 6;
constexpr int kTeams = 490;
constexpr int kTasksPerJob = 10;
constexpr int kDecisions = 20000;

double MicrosSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
      .count();
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

struct Shard {
  planning::ShardState state;
  planning::Planner planner;
  std::vector<std::pair<std::string, int64_t>> running;  // task and attempt number
};

struct Case {
  int hosts = 0;
  int tasks = 0;
  int shards = 1;
};

struct Row {
  double fill_us = 0;  // mean time per grant during the initial fill
  double p50_us = 0;
  double p99_us = 0;
  double max_us = 0;
  double idle_us = 0;      // time per call when nothing has changed
  double state_bytes = 0;  // shard state per task
  double planner_bytes = 0;
  double host_bytes = 0;
  double grants = 0;
  bool within_capacity = true;
};

planning::PlacementHost Host(int n) {
  const bool accelerators = n % 3 == 0;
  return {"host-" + std::to_string(n),     {64000, 256000, accelerators ? 8 : 0}, true,
          "rack-" + std::to_string(n / 8), "domain-" + std::to_string(n % 8),     false};
}

planning::JobSpec Job(int n, std::mt19937_64* random) {
  planning::JobSpec spec;
  spec.id = "job-" + std::to_string(n);
  spec.team = "team-" + std::to_string((*random)() % kTeams);
  spec.kind = n % 10 == 0 ? planning::JobKind::kService : planning::JobKind::kBatch;
  spec.rank = static_cast<int64_t>((*random)() % 3);
  spec.count = kTasksPerJob;
  const auto cores = static_cast<int64_t>(1 + (*random)() % 7);
  spec.need = {cores * 500, static_cast<int64_t>(1 + (*random)() % 7) * 2000,
               (*random)() % 50 == 0 ? 1 : 0};
  spec.run_time = std::chrono::hours(1);
  return spec;
}

void ApplyGrants(Shard* shard, const std::vector<planning::Event>& grants) {
  for (const planning::Event& it : grants) {
    Apply(&shard->state, &shard->planner, it);
    shard->running.emplace_back(it.task, it.attempt);
  }
}

// Places tasks until no more fit; returns the number of grants.
size_t PlaceAll(Shard* shard) {
  size_t count = 0;
  for (int idle = 0; idle < 3;) {
    const auto grants = PlaceTasks(shard->state, &shard->planner, 500, TimePoint{});
    ApplyGrants(shard, grants);
    count += grants.size();
    idle = grants.empty() ? idle + 1 : 0;
  }
  return count;
}

Row Run(const Case& it, uint64_t seed) {
  std::mt19937_64 random(seed);
  Row row;
  std::vector<Shard> shards(it.shards);
  const double empty = HeapBytes();
  for (int n = 0; n < it.shards; ++n) shards[n].planner = planning::MakePlanner({}, {}, {});
  for (int n = 0; n < it.hosts; ++n) SetHost(&shards[n / 8 % it.shards].planner, Host(n));
  const double with_hosts = HeapBytes();
  row.host_bytes = (with_hosts - empty) / it.hosts;
  for (int n = 0; n < it.tasks / kTasksPerJob; ++n) {
    Shard& shard = shards[n % it.shards];
    Apply(&shard.state, &shard.planner, planning::AcceptEvent(Job(n, &random)));
  }
  const auto start = std::chrono::steady_clock::now();
  for (Shard& shard : shards) row.grants += static_cast<double>(PlaceAll(&shard));
  row.fill_us = MicrosSince(start) / row.grants;
  double running = 0;
  for (const Shard& shard : shards) running += static_cast<double>(shard.running.capacity()) * 40;
  const double filled = HeapBytes();
  for (Shard& one : shards) one.planner = planning::Planner{};
  const double state_only = HeapBytes() - empty - running;
  row.state_bytes = state_only / it.tasks;
  row.planner_bytes =
      (filled - empty - running - state_only - row.host_bytes * it.hosts) / it.tasks;
  std::vector<std::vector<planning::PlacementHost>> hosts(it.shards);
  for (int n = 0; n < it.hosts; ++n) hosts[n / 8 % it.shards].push_back(Host(n));
  for (int n = 0; n < it.shards; ++n) {
    shards[n].planner = planning::MakePlanner(shards[n].state, hosts[n], {});
    PlaceAll(&shards[n]);
  }
  std::vector<double> times;
  times.reserve(kDecisions);
  Shard& shard = shards.front();
  int jobs = it.tasks / kTasksPerJob;
  for (int n = 0; n < kDecisions; ++n) {
    if (n % kTasksPerJob == 0) {
      Apply(&shard.state, &shard.planner, planning::AcceptEvent(Job(jobs++, &random)));
    }
    const size_t pick = random() % shard.running.size();
    const auto [task, attempt] = shard.running[pick];
    shard.running[pick] = shard.running.back();
    shard.running.pop_back();
    const auto begin = std::chrono::steady_clock::now();
    Apply(&shard.state, &shard.planner,
          planning::TaskEvent(planning::EventType::kFinished, task, attempt));
    ApplyGrants(&shard, PlaceTasks(shard.state, &shard.planner, 1, TimePoint{}));
    times.push_back(MicrosSince(begin));
  }
  std::sort(times.begin(), times.end());
  row.p50_us = times[times.size() / 2];
  row.p99_us = times[times.size() * 99 / 100];
  row.max_us = times.back();
  PlaceAll(&shard);
  const auto idle = std::chrono::steady_clock::now();
  for (int n = 0; n < 1000; ++n) PlaceTasks(shard.state, &shard.planner, 500, TimePoint{});
  row.idle_us = MicrosSince(idle) / 1000;
  for (const Shard& one : shards) {
    for (const auto& host : one.planner.hosts) {
      if (!Fits(GrantedOn(one.state, host.info.id), host.info.capacity)) {
        row.within_capacity = false;
      }
    }
  }
  return row;
}

int Main(uint64_t seed) {
  const std::vector<Case> cases = {{100, 4000, 1}, {1000, 36000, 1},  {12000, 400000, 1},
                                   {96, 3500, 2},  {1008, 36000, 21}, {12000, 400000, 250}};
  std::printf("%7s %7s %7s %9s %9s %8s %8s %8s %8s %11s %13s %10s\n", "hosts", "shards", "tasks",
              "running", "fill_us", "p50_us", "p99_us", "max_us", "idle_us", "state_B/task",
              "planner_B/task", "B/host");
  std::vector<Row> rows;
  bool held = true;
  for (const Case& it : cases) {
    rows.push_back(Run(it, seed));
    const Row& row = rows.back();
    std::printf("%7d %7d %7d %9.0f %9.2f %8.2f %8.2f %8.0f %8.2f %11.0f %13.0f %10.0f\n", it.hosts,
                it.shards, it.tasks, row.grants, row.fill_us, row.p50_us, row.p99_us, row.max_us,
                row.idle_us, row.state_bytes, row.planner_bytes, row.host_bytes);
    held = held && row.within_capacity && row.p99_us < kMaxDecisionUs;
  }
  const double growth = rows[2].p50_us / rows[0].p50_us;
  const double shard_growth = rows[5].p50_us / rows[3].p50_us;
  held = held && growth < kMaxGrowth && shard_growth < kMaxGrowth;
  return Report("placement-scale",
                {{"hosts", cases[2].hosts},
                 {"tasks", cases[2].tasks},
                 {"p50_us", rows[2].p50_us},
                 {"p99_us", rows[2].p99_us},
                 {"idle_us", rows[2].idle_us},
                 {"growth_100_to_12000", growth},
                 {"shard_p50_us", rows[5].p50_us},
                 {"shard_p99_us", rows[5].p99_us},
                 {"shard_growth", shard_growth},
                 {"bytes_task", rows[2].state_bytes + rows[2].planner_bytes},
                 {"bytes_host", rows[2].host_bytes}},
                held);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options options("bench-placement-scale", "Cost of placement against fleet size");
  options.add_options()("seed", "random seed", cxxopts::value<uint64_t>()->default_value("1"));
  return pomelopond::bench::Main(options.parse(argc, argv)["seed"].as<uint64_t>());
}
