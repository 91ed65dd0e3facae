// Random days of a simulated fleet: progress, safety and bookkeeping of the dispatcher.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "jobs/job_size.h"
#include "tests/dispatch/simulated_fleet.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest reconciliation wait of a new owner.
constexpr Duration kLongestWait = milliseconds(8500);
// A task whose turn has come, and for which there is capacity twice over, starts within this time.
constexpr Duration kStartBound = seconds(3);
constexpr Duration kCheckInterval = milliseconds(100);

std::string JobId(int n) {
  const std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

// Draws jobs of every kind.
class JobSource {
 public:
  // Of the jobs, `failing_share` have tasks that always fail, `hard_share` a hard shape, and
  // `long_share` tasks that may work longer than a lease.
  JobSource(SimulatedFleet* fleet, double failing_share, double hard_share, double long_share)
      : fleet_(*fleet),
        failing_share_(failing_share),
        hard_share_(hard_share),
        long_share_(long_share) {}

  void SubmitSome(double per_second) {
    if (!fleet_.Chance(per_second / 40)) return;
    const int64_t burst = fleet_.Chance(0.1) ? fleet_.Between(2, 8) : 1;
    for (int64_t n = 0; n < burst; ++n) {
      const jobs::Job job = Draw();
      // A host refuses what the store cannot hold.
      if (jobs::StorageError(job, fleet_.limits.max_value_bytes).empty()) fleet_.Submit(job);
    }
  }

 private:
  jobs::Step DrawStep() {
    jobs::Step step = MakeStep(static_cast<int>(fleet_.Between(1, 6)), fleet_.Between(1, 8) * 500);
    step.request.memory_mb = fleet_.Between(1, 40) * 100;
    step.estimate_ms = fleet_.Between(200, 3000);
    step.image = "image-" + std::to_string(fleet_.Between(1, 3));
    if (fleet_.Chance(0.1)) step.request.accelerators = 1;
    if (fleet_.Chance(0.2)) step.required_label = "label-a";
    if (fleet_.Chance(0.2)) step.preferred_rack = "rack-1";
    if (fleet_.Chance(0.2)) step.max_per_worker = static_cast<int>(fleet_.Between(1, 2));
    step.best_effort = fleet_.Chance(0.25);
    step.speculative = fleet_.Chance(0.1);
    step.checkpoint = fleet_.Chance(0.2);
    if (fleet_.Chance(0.2)) {
      step.gang = true;
      step.same_rack = fleet_.Chance(0.5);
      step.best_effort = false;
      step.speculative = false;
    }
    // Serves users, beside whom best-effort tasks may interfere.
    if (!step.best_effort && !step.gang && fleet_.Chance(0.15)) step.target_tail_ms = 100;
    if (fleet_.Chance(0.03)) step.request.cpu_milli = 100000;  // fits no worker
    return step;
  }

  jobs::Step SmallStep(int replicas) {
    jobs::Step step = MakeStep(replicas, fleet_.Between(1, 20) * 10);
    step.request.memory_mb = 1;
    step.estimate_ms = 300;
    return step;
  }

  // Jobs that cost much more to place than their size suggests, or that fail for ever.
  std::vector<jobs::Step> DrawHardSteps(bool* fails_late) {
    const auto many = static_cast<int>(fleet_.Between(50, 400));
    const auto most = static_cast<int>(fleet_.Between(1, many));
    std::vector<jobs::Step> steps(static_cast<size_t>(fleet_.Between(1, 5)), SmallStep(many));
    switch (fleet_.Between(0, 3)) {
      case 0:  // gangs, of which many fit nowhere
        for (jobs::Step& it : steps) {
          it.gang = true;
          it.max_per_worker = most;
          it.same_rack = fleet_.Chance(0.3);
        }
        return steps;
      case 1:  // more tasks than the limits per worker permit at once
        steps.resize(1);
        steps[0].max_per_worker = static_cast<int>(fleet_.Between(1, 3));
        return steps;
      case 2:  // a long chain
        steps.assign(static_cast<size_t>(many), SmallStep(1));
        for (size_t n = 1; n < steps.size(); ++n) steps[n].after = {static_cast<int>(n) - 1};
        return steps;
      default:  // perpetual tasks on all workers
        *fails_late = true;
        steps.assign(1, SmallStep(static_cast<int>(fleet_.Between(4, 12))));
        steps[0].perpetual = true;
        steps[0].max_per_worker = static_cast<int>(fleet_.Between(0, 2));
        return steps;
    }
  }

  jobs::Job Draw() {
    const std::string id = JobId(++submitted_);
    if (hard_share_ > 0 && fleet_.Chance(hard_share_)) {
      bool fails_late = false;
      jobs::Job job = MakeJob(id, DrawHardSteps(&fails_late));
      job.accepted_ms = fleet_.WallMs();
      job.rules.stretch = 3;
      if (fails_late) job.spec = kLateFailingSpec;
      return job;
    }
    std::vector<jobs::Step> steps = {DrawStep()};
    const bool perpetual = fleet_.Chance(0.15);
    if (perpetual) {
      steps[0].perpetual = true;
      steps[0].gang = false;
      steps[0].speculative = false;
      steps[0].replicas = static_cast<int>(fleet_.Between(1, 3));
    }
    while (!perpetual && steps.size() < 4 && fleet_.Chance(0.3)) {
      steps.push_back(DrawStep());
      const auto last = static_cast<int64_t>(steps.size()) - 2;
      if (fleet_.Chance(0.8)) steps.back().after = {static_cast<int>(fleet_.Between(0, last))};
    }
    jobs::Job job = MakeJob(id, steps);
    job.accepted_ms = fleet_.WallMs();
    job.rules.priority = static_cast<int>(fleet_.Between(0, 2));
    job.rules.stretch = 3;
    job.rules.target_duration_ms = fleet_.Between(0, 5000);
    job.rules.needs_permits = fleet_.Chance(0.15);
    if (fleet_.Chance(failing_share_)) job.spec = kFailingSpec;
    if (!perpetual && fleet_.Chance(0.1)) {
      job.occurrences = static_cast<int>(fleet_.Between(1, 4));
      job.first_ms = fleet_.WallMs() + fleet_.Between(-1000, 5000);
      job.interval_ms = fleet_.Between(100, 4000);
    }
    if (long_share_ > 0 && fleet_.Chance(long_share_)) job.spec = kLongSpec;
    return job;
  }

  SimulatedFleet& fleet_;
  const double failing_share_;
  const double hard_share_;
  const double long_share_;
  int submitted_ = 0;
};

// Number of tasks of the step that would fit into the free capacity of `worker`.
int SlotsOn(const SimulatedWorker& worker, const jobs::Step& step) {
  const Resources free = worker.info.capacity - UsedCapacity(worker);
  Resources need = ReservationOf(step);
  int64_t slots = 1000;
  if (step.best_effort) {
    int64_t spare = free.cpu_milli;
    for (const auto& [id, it] : worker.active) {
      if (it.step.best_effort) spare -= it.step.request.cpu_milli;
      if (it.step.target_tail_ms > 0) return 0;  // whether it fits depends on tails
    }
    slots = std::max<int64_t>(0, spare) / step.request.cpu_milli;
  }
  if (need.cpu_milli > 0) slots = std::min(slots, free.cpu_milli / need.cpu_milli);
  if (need.memory_mb > 0) slots = std::min(slots, free.memory_mb / need.memory_mb);
  if (need.accelerators > 0) slots = std::min(slots, free.accelerators / need.accelerators);
  return static_cast<int>(std::max<int64_t>(0, slots));
}

// Finds tasks that do not start although there is capacity for them.
class ProgressCheck {
 public:
  explicit ProgressCheck(SimulatedFleet* fleet) : fleet_(*fleet) {}

  void Reset() { since_.clear(); }

  void Check() {
    const SimulatedOwner* owner = fleet_.owner();
    if (owner == nullptr) return;
    std::map<std::string, TimePoint> waiting;
    for (const auto& [id, record] : fleet_.store().jobs) {
      const JobEntry* entry = owner->dispatcher.FindJob(id);
      if (entry == nullptr || jobs::IsFinal(entry->state)) continue;
      for (const auto& [k, steps] : entry->open) {
        if (fleet_.WallMs() < DueMs(entry->job, k)) continue;
        for (size_t s = 0; s < steps.size(); ++s) CheckStep(*entry, k, s, &waiting);
      }
    }
    since_ = std::move(waiting);
  }

 private:
  void CheckStep(const JobEntry& entry, int k, size_t s,
                 std::map<std::string, TimePoint>* waiting) {
    const StepState& state = entry.open.at(k)[s];
    const jobs::Step& step = entry.job.steps[s];
    if (state.waiting == 0 || !IsReady(entry, k, static_cast<int>(s))) return;
    if (step.gang && state.waiting < step.replicas) return;
    if (Slots(entry, k, s) < 2 * (step.gang ? step.replicas : 1)) return;
    for (size_t n = 0; n < state.tasks.size(); ++n) {
      if (state.tasks[n].progress.done || !state.tasks[n].runs.empty()) continue;
      const jobs::TaskId id{entry.job.id, k, static_cast<int>(s), static_cast<int>(n)};
      const std::string key = Text(id);
      const auto found = since_.find(key);
      const TimePoint since = found == since_.end() ? fleet_.now() : found->second;
      (*waiting)[key] = since;
      if (fleet_.now() - since <= kStartBound) continue;
      fleet_.Violation("task does not start: " + key + Kind(entry, step));
    }
  }

  static std::string Kind(const JobEntry& entry, const jobs::Step& step) {
    std::string kind;
    if (step.gang) kind += " gang";
    if (step.same_rack) kind += " same_rack";
    if (step.best_effort) kind += " best_effort";
    if (step.perpetual) kind += " perpetual";
    if (entry.job.rules.needs_permits) kind += " permits";
    if (step.max_per_worker > 0) kind += " max_per_worker";
    return kind;
  }

  int Slots(const JobEntry& entry, int k, size_t s) const {
    const jobs::Step& step = entry.job.steps[s];
    std::map<std::string, int> by_rack;
    int all = 0;
    for (const auto& [endpoint, worker] : fleet_.workers()) {
      if (!IsSettled(worker)) continue;
      const StepId id{entry.job.id, k, static_cast<int>(s)};
      if (entry.job.rules.needs_permits && !SimulatedFleet::IsAllowed(id, worker.info.id)) continue;
      if (!step.required_label.empty() && worker.info.labels.count(step.required_label) == 0) {
        continue;
      }
      int slots = SlotsOn(worker, step);
      if (step.max_per_worker > 0) {
        int same_step = 0;
        for (const auto& [run, it] : worker.active) {
          same_step += run.task.job == entry.job.id && run.task.step == static_cast<int>(s) &&
                               run.task.occurrence == k
                           ? 1
                           : 0;
        }
        slots = std::min(slots, std::max(0, step.max_per_worker - same_step));
      }
      by_rack[worker.info.rack] += slots;
      all += slots;
    }
    if (!step.same_rack) return all;
    int best = 0;
    for (const auto& [rack, slots] : by_rack) best = std::max(best, slots);
    return best;
  }

  // True when the worker is registered as it is, and stays.
  bool IsSettled(const SimulatedWorker& worker) const {
    const auto entry = fleet_.store().registry.find(worker.info.id);
    return entry != fleet_.store().registry.end() && entry->second == worker.info &&
           !worker.info.draining && worker.leaves_at == TimePoint::max() &&
           fleet_.store().evacuated.count(worker.info.failure_domain) == 0;
  }

  SimulatedFleet& fleet_;
  std::map<std::string, TimePoint> since_;
};

Troubles DrawTroubles(SimulatedFleet* fleet) {
  const auto rate = [fleet](double most) {
    return fleet->Chance(0.5) ? most * static_cast<double>(fleet->Between(1, 10)) / 10 : 0;
  };
  Troubles out;
  out.lost_call = rate(0.1);
  out.lost_commit = rate(0.3);
  out.slow_store = rate(0.2);
  out.restarts = rate(0.5);
  out.leaves = rate(0.5);
  out.silences = rate(0.5);
  out.unhealthy = rate(1);
  out.poisoned = rate(0.5);
  out.registry_gaps = rate(0.5);
  out.takeovers = rate(0.4);
  out.cancels = rate(1);
  return out;
}

// Besides those of all days: a store that is slow, loses answers, carries out commits late and is
// down, in series, with owners lost behind it.
Troubles AddStoreTroubles(SimulatedFleet* fleet, Troubles troubles) {
  const auto rate = [fleet](double most) {
    return most * static_cast<double>(fleet->Between(0, 10)) / 10;
  };
  troubles.late_commit = rate(0.3);
  troubles.outages = rate(0.5);
  troubles.slow_store = rate(0.7);
  troubles.takeovers = rate(0.5);
  return troubles;
}

struct DayOptions {
  double failing_share = 0;             // of the jobs: their tasks always fail
  double hard_share = 0;                // of the jobs: of a hard shape
  int64_t known_value_bytes = 1048576;  // largest value of the store, as the settings say
  int64_t value_bytes = 1048576;
  bool store_troubles = false;
  double evacuations = 0;  // per second
  double slowdowns = 0;    // per second
  double recuts = 0;       // per second
  double long_share = 0;   // of the jobs: tasks may work longer than a lease
  // Length of a phase of troubles.
  int64_t shortest_phase_ms = 3000;
  int64_t longest_phase_ms = 12000;
  bool checks_progress = true;
};

// Plays the day of a seed: phases of troubles, each followed by calm. Returns what was violated.
std::vector<std::string> PlayDay(uint64_t seed, const DayOptions& options, int64_t* rescues) {
  constexpr int kPhases = 2;
  SimulatedFleet fleet(seed);
  fleet.limits.max_value_bytes = options.known_value_bytes;
  fleet.store_value_bytes = options.value_bytes;
  fleet.has_evacuations = options.evacuations > 0;
  fleet.limits.rescue_slow_runs = options.slowdowns > 0;
  fleet.has_connections = options.recuts > 0;
  if (options.recuts > 0) fleet.limits.max_lease = kMaxWorkerLease;
  fleet.limits.finished_retention = seconds(5);
  fleet.limits.max_starts_in_flight = fleet.Chance(0.3) ? 4 : 64;
  const int64_t workers = fleet.Between(3, 10);
  for (int64_t n = 0; n < workers; ++n) fleet.AddWorker();
  fleet.TakeOver(false);
  JobSource jobs(&fleet, options.failing_share, options.hard_share, options.long_share);
  const double per_second = static_cast<double>(fleet.Between(2, 30)) / 10;
  for (int phase = 0; phase < kPhases && fleet.violations().empty(); ++phase) {
    fleet.on_tick = [&] { jobs.SubmitSome(per_second); };
    const Duration length = fleet.MsBetween(options.shortest_phase_ms, options.longest_phase_ms);
    Troubles troubles = DrawTroubles(&fleet);
    if (options.store_troubles) troubles = AddStoreTroubles(&fleet, troubles);
    troubles.evacuations = options.evacuations;
    troubles.slowdowns = options.slowdowns;
    troubles.recuts = options.recuts;
    fleet.Run(length, troubles);
    fleet.EndTroubles();
    fleet.on_tick = [&] { jobs.SubmitSome(per_second / 4); };
    fleet.Run(kLongestWait, {});
    ProgressCheck progress(&fleet);
    TimePoint next_check = fleet.now();
    fleet.on_tick = [&] {
      jobs.SubmitSome(per_second / 4);
      if (fleet.now() < next_check) return;
      next_check = fleet.now() + kCheckInterval;
      // Tasks of a job whose record has no room for one more wait for others of the job.
      if (options.checks_progress) progress.Check();
    };
    Troubles calm;
    calm.evacuations = options.evacuations;
    fleet.Run(seconds(5), calm);
  }
  if (options.known_value_bytes <= options.value_bytes && fleet.rejected_commits > 0) {
    fleet.Violation("a commit was rejected although the limit is known");
  }
  if (fleet.owner() != nullptr) {
    const RescueCounts& counts =
        fleet.owner()->dispatcher.Summary(fleet.now(), fleet.WallMs()).rescues;
    *rescues += counts.resumed + counts.restarted + counts.moved + counts.copies;
  }
  return fleet.violations();
}

int64_t FromEnvironment(const char* name, int64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoll(text, nullptr, 10);
}

// A seed takes 0.06 s in the release build and 1.5 s with sanitizers.
#ifdef __SANITIZE_ADDRESS__
constexpr int64_t kSeeds = 20;
#else
constexpr int64_t kSeeds = 200;
#endif

// Other seeds: FLEET_SEED is the first one and FLEET_SEEDS their number. Returns the number of
// rescues.
int64_t PlayDays(const DayOptions& options, int64_t seeds = kSeeds) {
  const int64_t first = FromEnvironment("FLEET_SEED", 1);
  const int64_t count = FromEnvironment("FLEET_SEEDS", seeds);
  int64_t rescues = 0;
  for (int64_t seed = first; seed < first + count; ++seed) {
    const std::vector<std::string> violations =
        PlayDay(static_cast<uint64_t>(seed), options, &rescues);
    if (violations.empty()) continue;
    ADD_FAILURE() << "seed " << seed << ": " << violations.front();
  }
  return rescues;
}

// Guards against tasks that never start, run twice or start where they must not, and against counts
// that drift, in situations that no one has thought of.
TEST(RandomFleetTest, KeepsItsPromisesOnRandomDays) { PlayDays({}); }

// Guards against the same beside tasks that fail wherever they run.
TEST(RandomFleetTest, KeepsItsPromisesBesideTasksThatAlwaysFail) {
  DayOptions options;
  options.failing_share = 0.05;
  PlayDays(options);
}

// Guards against the same beside jobs of legal size and hard shape: gangs of many members that fit
// nowhere, many small tasks, long chains, and perpetual tasks that fail for ever after some work.
TEST(RandomFleetTest, KeepsItsPromisesBesideHardJobs) {
  DayOptions options;
  options.failing_share = 0.03;
  options.hard_share = 0.1;
  // A day with so many runs takes several times as long as the others.
  PlayDays(options, kSeeds / 5);
}

// Guards against records that outgrow a small store: few tasks of a job may be under way, and the
// others wait.
TEST(RandomFleetTest, KeepsRecordsWithinTheStoresLimit) {
  DayOptions options;
  options.failing_share = 0.05;
  options.known_value_bytes = options.value_bytes = 900;
  options.checks_progress = false;
  PlayDays(options);
}

// Guards against commits that a job whose record the store rejects holds up: all other jobs go on.
TEST(RandomFleetTest, GoesOnBesideRecordsThatTheStoreRejects) {
  DayOptions options;
  options.value_bytes = 130;
  PlayDays(options);
}

// Guards against tasks that never start or run twice after outages of the store in series, slow and
// late commits, and owners that are lost behind them.
TEST(RandomFleetTest, KeepsItsPromisesBesideStoreTroubles) {
  DayOptions options;
  options.store_troubles = true;
  PlayDays(options);
}

// Guards against tasks that start in an evacuated failure domain, or find no other place, with an
// owner that is lost halfway and a store in trouble.
TEST(RandomFleetTest, KeepsItsPromisesBesideEvacuations) {
  DayOptions options;
  options.store_troubles = true;
  options.evacuations = 0.4;
  PlayDays(options);
}

// Guards against tasks that run twice, start where they must not or wait for long, and against
// counts that drift, while runs on slow workers are stopped and copied.
TEST(RandomFleetTest, KeepsItsPromisesBesideSlowWorkers) {
  DayOptions options;
  options.slowdowns = 1;
  EXPECT_GT(PlayDays(options), 0);
}

// Guards against tasks that run twice beside workers that start again under their ids and are cut
// off before their owner knows (issue 77): a start that was meant for the earlier incarnation must
// not run on the next one, whose clock its lease end says nothing of.
TEST(RandomFleetTest, KeepsItsPromisesBesideRestartsThatAreCutOff) {
  DayOptions options;
  options.recuts = 1;
  options.long_share = 0.5;
  options.shortest_phase_ms = 8000;
  options.longest_phase_ms = 25000;
  // A day with such phases takes three times as long as the others.
  PlayDays(options, kSeeds / 2);
}

// Guards against ends that workers are told to forget before they are stored, after which a later
// owner runs the tasks again (review/6). Jobs that fail bring the most of them.
TEST(RandomFleetTest, ForgetsNoEndBeforeItIsStored) {
  DayOptions options;
  options.failing_share = 0.2;
  options.store_troubles = true;
  options.checks_progress = false;
  PlayDays(options);
}

}  // namespace
}  // namespace pomelopond::dispatch
