// Compares placement and eviction under interference with simpler policies in a small pairwise
// model.
//
// The model has 48 hosts of 32 cores. Each host runs one service, of one of 4 classes, with 8
// dedicated cores. Batch tasks of 6 classes request 2 to 6 cores. Each core of a batch class slows
// a service class by a factor from a random table that depends on the seed: most pairs interfere
// little, some strongly. The measured latency lags by 5 s and has lognormal noise. In the runs with
// waves, bursts of the most harmful class arrive. A simulation step is one second.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "bench/support/bench_result.h"
#include "planning/eviction.h"

namespace pomelopond::bench {
namespace {

using planning::BatchLoad;
using planning::BatchTask;
using planning::InterferenceTable;

constexpr int kHosts = 48;
constexpr int kServiceClasses = 4;
constexpr int kBatchClasses = 6;
constexpr double kBatchCores = 24;
constexpr int kSteps = 3600;
constexpr int kWarmUp = 600;
constexpr int kMeasurementLag = 5;  // steps of one second
constexpr double kServiceMs = 30;

enum class Policy { kFirstFit, kLeastLoaded, kNoLearning, kLearning };

constexpr std::array<Policy, 4> kPolicies = {Policy::kFirstFit, Policy::kLeastLoaded,
                                             Policy::kNoLearning, Policy::kLearning};

const char* PolicyName(Policy policy) {
  switch (policy) {
    case Policy::kFirstFit:
      return "first-fit";
    case Policy::kLeastLoaded:
      return "least-loaded";
    case Policy::kNoLearning:
      return "no-learning";
    case Policy::kLearning:
      return "learning";
  }
  return "";
}

struct Model {
  // Relative slowdown per batch core.
  std::array<std::array<double, kBatchClasses>, kServiceClasses> slowdown{};
  int most_harmful_class = 0;  // batch class with the largest total slowdown
};

Model MakeModel(std::mt19937_64* random) {
  Model model;
  std::uniform_real_distribution<double> draw(0, 1);
  std::array<double, kBatchClasses> sums{};
  for (auto& row : model.slowdown) {
    for (int n = 0; n < kBatchClasses; ++n) {
      row[n] = draw(*random) < 0.3 ? 0.05 + 0.10 * draw(*random) : 0.01 * draw(*random);
      sums[n] += row[n];
    }
  }
  model.most_harmful_class =
      static_cast<int>(std::max_element(sums.begin(), sums.end()) - sums.begin());
  return model;
}

struct Work {
  int batch_class = 0;
  double cores = 0;
  double remaining_work = 0;         // remaining work in core seconds
  double work_since_checkpoint = 0;  // seconds
};

struct RunningTask {
  int id = 0;
  Work work;
  bool throttled = false;

  double speed() const { return throttled ? work.cores * 0.5 : work.cores; }
};

struct Host {
  int service = 0;
  std::vector<RunningTask> tasks;
  planning::MitigationState mitigation_state;
  std::deque<double> latencies;  // relative slowdowns measured but not yet visible to the policy
  int steps_since_change = 0;

  double used() const {
    double cores = 0;
    for (const RunningTask& it : tasks) cores += it.work.cores;
    return cores;
  }
};

struct Outcome {
  double p99_ms = 0;
  double throughput = 0;  // core seconds of work done per second
  double evictions = 0;   // evictions per hour
  double throttles = 0;
};

std::string ServiceName(int n) { return "service-" + std::to_string(n); }
std::string BatchName(int n) { return "batch-" + std::to_string(n); }

BatchLoad LoadOf(const Host& host) {
  BatchLoad load;
  for (const RunningTask& it : host.tasks) load[BatchName(it.work.batch_class)] += it.speed();
  return load;
}

double SlowdownOf(const Model& model, const Host& host) {
  double slowdown = 0;
  for (const RunningTask& it : host.tasks) {
    slowdown += it.speed() * model.slowdown[host.service][it.work.batch_class];
  }
  return slowdown;
}

// Returns the host for a task, or -1 if none has enough free cores.
int ChooseHost(Policy policy, const std::vector<Host>& hosts, const Work& work,
               const InterferenceTable& table, const planning::EvictionSettings& settings) {
  int best = -1;
  double best_score = 0;
  for (int n = 0; n < kHosts; ++n) {
    const double used = hosts[n].used();
    if (used + work.cores > kBatchCores) continue;
    if (policy == Policy::kFirstFit) return n;
    double score = (used + work.cores) / kBatchCores;
    if (policy == Policy::kLearning) {
      const std::string service = ServiceName(hosts[n].service);
      // The score covers the total slowdown of the host's service, not only that by this task.
      score = score * 0.25 +
              planning::ExpectedSlowdown(table, service, LoadOf(hosts[n])) *
                  settings.weights.tail_latency / settings.weights.throughput +
              planning::BatchPenalty(table, {service}, BatchName(work.batch_class), work.cores,
                                     settings.weights);
    }
    if (best >= 0 && score >= best_score) continue;
    best = n;
    best_score = score;
  }
  return best;
}

std::vector<BatchTask> TasksOf(const Host& host) {
  std::vector<BatchTask> tasks;
  for (const RunningTask& it : host.tasks) {
    BatchTask task;
    task.id = std::to_string(it.id);
    task.work_class = BatchName(it.work.batch_class);
    task.cores = it.speed();
    task.throttled = it.throttled;
    task.work_since_checkpoint =
        Duration(static_cast<int64_t>(it.work.work_since_checkpoint * 1e6));
    tasks.push_back(std::move(task));
  }
  return tasks;
}

Outcome Run(Policy policy, const Model& model, bool waves,
            const planning::EvictionSettings& settings, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> draw(0, 1);
  std::normal_distribution<double> noise(0, 0.10);
  std::vector<Host> hosts(kHosts);
  for (int n = 0; n < kHosts; ++n) hosts[n].service = n % kServiceClasses;
  std::deque<Work> waiting;
  InterferenceTable table;
  planning::EvictionBudget budget = planning::MakeEvictionBudget(settings, TimePoint{});
  std::vector<double> latencies;
  Outcome outcome;
  int next_id = 0;
  double pending_work = 0;  // arrived work not yet split into tasks, in core seconds
  const bool mitigates = policy == Policy::kNoLearning || policy == Policy::kLearning;
  for (int step = 0; step < kSteps + kWarmUp; ++step) {
    const TimePoint now = TimePoint{} + std::chrono::seconds(step);
    const bool measured = step >= kWarmUp;
    const bool wave = waves && step % 300 < 60;
    // The arriving work is about 70% of the cores available to batch work; a wave adds 40% to it.
    pending_work += draw(random) * 2 * 0.70 * kHosts * kBatchCores * (wave ? 1.4 : 1);
    while (pending_work > 0) {
      Work work;
      work.batch_class = static_cast<int>(random() % kBatchClasses);
      if (wave && random() % 2 == 0) work.batch_class = model.most_harmful_class;
      work.cores = 2 + static_cast<double>(random() % 5);
      work.remaining_work = work.cores * (60 + 240 * draw(random));
      pending_work -= work.remaining_work;
      waiting.push_back(work);
    }
    for (size_t n = waiting.size(); n > 0; --n) {
      const Work work = waiting.front();
      waiting.pop_front();
      const int host = ChooseHost(policy, hosts, work, table, settings);
      if (host < 0) {
        waiting.push_back(work);
        continue;
      }
      hosts[host].tasks.push_back({next_id++, work, false});
      hosts[host].steps_since_change = 0;
    }
    for (Host& host : hosts) {
      const double slowdown = SlowdownOf(model, host);
      if (measured) latencies.push_back(kServiceMs * (1 + slowdown));
      host.latencies.push_back((1 + slowdown) * std::exp(noise(random)) - 1);
      for (RunningTask& it : host.tasks) {
        const double done = std::min(it.work.remaining_work, it.speed());
        it.work.remaining_work -= done;
        // Each task writes a checkpoint every minute.
        it.work.work_since_checkpoint =
            it.work.work_since_checkpoint >= 60 ? 0 : it.work.work_since_checkpoint + 1;
        if (measured) outcome.throughput += done / kSteps;
      }
      const size_t before = host.tasks.size();
      host.tasks.erase(
          std::remove_if(host.tasks.begin(), host.tasks.end(),
                         [](const RunningTask& it) { return it.work.remaining_work <= 0; }),
          host.tasks.end());
      host.steps_since_change = before == host.tasks.size() ? host.steps_since_change + 1 : 0;
      if (host.latencies.size() <= kMeasurementLag) continue;
      const double observed_slowdown = host.latencies.front();
      host.latencies.pop_front();
      if (!mitigates) continue;
      if (policy == Policy::kLearning && step % 5 == 0) {
        // The owner knows the current load, not the load at the time of the latency measurement.
        planning::Learn(&table, {ServiceName(host.service), LoadOf(host), observed_slowdown,
                                 std::chrono::seconds(host.steps_since_change)});
      }
      const planning::Mitigation mitigation =
          planning::DecideMitigation(settings, table, ServiceName(host.service), observed_slowdown,
                                     TasksOf(host), now, &host.mitigation_state, &budget);
      if (mitigation.action == planning::MitigationAction::kNone) continue;
      const auto it = std::find_if(
          host.tasks.begin(), host.tasks.end(),
          [&](const RunningTask& task) { return std::to_string(task.id) == mitigation.task; });
      host.steps_since_change = 0;
      if (mitigation.action == planning::MitigationAction::kEvict) {
        Work work = it->work;
        if (measured) {
          outcome.evictions += 1;
          outcome.throughput -= (work.work_since_checkpoint + 10) * work.cores / kSteps;
        }
        work.remaining_work += work.work_since_checkpoint * work.cores;
        work.work_since_checkpoint = 0;
        waiting.push_back(work);
        host.tasks.erase(it);
        continue;
      }
      it->throttled = mitigation.action == planning::MitigationAction::kThrottle;
      if (measured && it->throttled) outcome.throttles += 1;
    }
  }
  std::sort(latencies.begin(), latencies.end());
  outcome.p99_ms = latencies[latencies.size() * 99 / 100];
  return outcome;
}

// Returns the weighted loss relative to the ideal of no slowdown, all work done and no evictions.
// One eviction per minute costs as much as a loss of 10% of the throughput.
double Cost(const Outcome& outcome, double offered, const planning::OutcomeWeights& weights) {
  return weights.tail_latency * (outcome.p99_ms / kServiceMs - 1) +
         weights.throughput * std::max(0.0, 1 - outcome.throughput / offered) +
         weights.evictions * outcome.evictions / 600;
}

struct Deployment {
  const char* name;
  planning::OutcomeWeights weights;
};

int Main(uint64_t seed) {
  const std::array<Deployment, 2> deployments = {{{"kumlama", {3, 1, 1}}, {"falaj", {1, 2, 3}}}};
  std::mt19937_64 random(seed);
  const Model model = MakeModel(&random);
  Figures figures;
  bool held = true;
  std::printf("%-8s %-7s %-13s %8s %11s %10s %10s %7s\n", "weights", "load", "policy", "p99_ms",
              "core_s_per_s", "evictions", "throttles", "cost");
  for (const Deployment& deployment : deployments) {
    planning::EvictionSettings settings;
    settings.weights = deployment.weights;
    for (const bool waves : {false, true}) {
      double offered = 0;
      std::vector<Outcome> outcomes;
      for (const Policy it : kPolicies) {
        outcomes.push_back(Run(it, model, waves, settings, seed + 1));
        offered = std::max(offered, outcomes.back().throughput);
      }
      std::vector<double> costs;
      for (size_t n = 0; n < outcomes.size(); ++n) {
        const Outcome& it = outcomes[n];
        costs.push_back(Cost(it, offered, deployment.weights));
        std::printf("%-8s %-7s %-13s %8.1f %11.1f %10.0f %10.0f %7.3f\n", deployment.name,
                    waves ? "waves" : "steady", PolicyName(kPolicies[n]), it.p99_ms, it.throughput,
                    it.evictions, it.throttles, costs.back());
      }
      const double best_other = *std::min_element(costs.begin(), costs.end() - 1);
      held = held && costs.back() < best_other;
      const std::string key = std::string(deployment.name) + (waves ? "_waves" : "_steady");
      figures.emplace_back(key + "_p99_ms", outcomes.back().p99_ms);
      figures.emplace_back(key + "_cost", costs.back());
      figures.emplace_back(key + "_best_other_cost", best_other);
    }
  }
  return Report("interference", figures, held);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options options("bench-interference", "Placement and eviction under interference");
  options.add_options()("seed", "random seed", cxxopts::value<uint64_t>()->default_value("1"));
  return pomelopond::bench::Main(options.parse(argc, argv)["seed"].as<uint64_t>());
}
