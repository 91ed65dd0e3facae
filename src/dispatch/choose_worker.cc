#include "dispatch/choose_worker.h"

#include <algorithm>
#include <tuple>

namespace pomelopond::dispatch {
namespace {

// Registrations that expire during an outage of the store reappear within this time after the store
// returns.
constexpr Duration kReregistrationGrace = std::chrono::seconds(2);

// Each idle job is owed a run while under half of the pool is in use. The margin covers workers
// that have just left and runs that have just ended.
constexpr double kUnderusedFraction = 0.6;

// Part of the processor time that is left which best-effort runs may use before they slow each
// other down. Services leave less of it at times than on average.
constexpr double kUsableFraction = 0.85;

// True when the worker runs a latency-critical task of another image. Images differ in the
// best-effort tasks that interfere with them, so a worker with a single image can take more
// best-effort tasks.
bool ServesOthers(const WorkerState& worker, const std::string& image) {
  return std::any_of(worker.runs.begin(), worker.runs.end(), [&image](const auto& it) {
    return it.second.target_tail_ms > 0 && it.second.image != image;
  });
}

int RunsOnWorker(const StepState& state, const std::string& worker) {
  int n = 0;
  for (const TaskState& task : state.tasks) {
    for (const RunLocation& it : task.runs) n += it.worker == worker ? 1 : 0;
  }
  return n;
}

double ExpectedTailRatio(const WorkerState& worker, const PlacementRequest& request) {
  if (!request.step->best_effort || worker.serving == 0) return 0;
  const double cores = static_cast<double>(request.step->request.cpu_milli) / 1000;
  const ColocationModel& model = *request.colocation;
  return request.slowdowns == nullptr
             ? dispatch::ExpectedTailRatio(model, worker, request.step->image, cores)
             : dispatch::ExpectedTailRatio(model, worker, *request.slowdowns, cores);
}

// Best-effort tasks that share too little processor time all complete late, so later ones wait.
bool HasCapacityFor(const WorkerState& worker, const PlacementRequest& request) {
  if (!Fits(StepReservation(*request.step), FreeCapacity(worker))) return false;
  if (!request.step->best_effort) return true;
  return request.shares_processor || SpareCpu(worker) >= request.step->request.cpu_milli;
}

bool HasShortTails(const WorkerState& worker, const PlacementRequest& request) {
  if (!request.step->best_effort || worker.serving == 0) return true;
  // One run at a time starts beside a tail that is long already.
  if (worker.slow_starts > 0 && HasLongTail(*request.colocation, worker)) return false;
  return ReportedTailRatio(*request.colocation, worker) <= request.max_tail;
}

bool KeepsTailsShort(const WorkerState& worker, const PlacementRequest& request) {
  return HasShortTails(worker, request) &&
         ExpectedTailRatio(worker, request) <= request.max_expected_tail;
}

// The expected tail ratio if it is part of the worker's score, else 0.
double ScoredTailRatio(const WorkerState& worker, const PlacementRequest& request) {
  return request.shares_processor ? ExpectedTailRatio(worker, request) : 0;
}

// Smaller scores are better. The first part is the sum of the penalties of the worker itself.
using Score = std::tuple<int, bool, bool, bool, int64_t>;

// A suspect worker may fail the task, a slow one takes several times as long, and a cold one is
// slow for a moment.
constexpr int kSuspectPenalty = 4;
constexpr int kSlowPenalty = 2;
constexpr int kColdPenalty = 1;

// True when the worker is slow and a run of the step may not start there as a probe.
bool IsSlowFor(const WorkerState& worker, const jobs::Step& step, TimePoint now) {
  return worker.speed.is_avoided &&
         (step.perpetual || step.gang || !MayProbe(worker.speed, step.checkpoint, now));
}

// `tail` is the worker's ScoredTailRatio().
Score ScoreOf(const WorkerState& worker, const PlacementRequest& request, double tail,
              TimePoint now) {
  const jobs::Step& step = *request.step;
  const bool suspect =
      now < worker.suspect_until ||
      (request.task != nullptr && request.task->failed_on.count(worker.info.id) > 0);
  const int penalty = (suspect ? kSuspectPenalty : 0) +
                      (IsSlowFor(worker, step, now) ? kSlowPenalty : 0) +
                      (IsCold(worker, now) ? kColdPenalty : 0);
  const bool outside_preferred_rack =
      !step.preferred_rack.empty() && worker.info.rack != step.preferred_rack;
  const int64_t spare_cpu = SpareCpu(worker);
  if (step.best_effort) {
    // A run beside a tail that is long already has to be slowed down.
    const bool long_tail = request.shares_processor && (tail > kMaxExpectedTailRatio ||
                                                        HasLongTail(*request.colocation, worker));
    const auto tail_permille = static_cast<int64_t>(std::min(tail, 1e6) * 1000);
    return {penalty, outside_preferred_rack, long_tail, false,
            long_tail ? tail_permille : -spare_cpu};
  }
  if (step.target_tail_ms > 0) {
    return {penalty, outside_preferred_rack, ServesOthers(worker, step.image), worker.serving == 0,
            spare_cpu};
  }
  // Tasks with a reservation and no tail target don't interfere with latency-critical tasks. Placed
  // beside them, they leave the other workers to best-effort tasks.
  return {penalty, outside_preferred_rack, worker.serving == 0, worker.best_effort_cpu > 0,
          -spare_cpu};
}

// True when no worker later in the order of its index can have a better score.
bool IsBestInOrder(const Score& score, const jobs::Step& step) {
  // The index does not know which images a worker serves.
  if (!step.best_effort && step.target_tail_ms > 0) return false;
  const bool outside_preferred_rack = std::get<1>(score);
  const bool long_tail = step.best_effort && std::get<2>(score);
  return std::get<0>(score) == 0 && !outside_preferred_rack && !long_tail;
}

// Returns the worker with the best score, and of those the one with the lowest id. `order` lists
// workers of otherwise equal score by their spare processor time.
template <class Order>
WorkerState* BestWorker(const Order& order, const PlacementRequest& request, TimePoint now) {
  const bool needs_spare = request.step->best_effort && !request.shares_processor;
  WorkerState* best = nullptr;
  Score best_score;
  for (WorkerState* it : order) {
    // From here on no worker has enough spare processor time.
    if (needs_spare && it->index_key.spare_cpu < request.step->request.cpu_milli) break;
    // The cheap conditions come first, as most workers are full when many tasks wait.
    if (!HasCapacityFor(*it, request) || !IsEligible(*it, request, now)) continue;
    if (!HasShortTails(*it, request)) continue;
    const double tail = ScoredTailRatio(*it, request);
    const Score score = ScoreOf(*it, request, tail, now);
    if (best != nullptr && std::tie(best_score, best->info.id) <= std::tie(score, it->info.id)) {
      continue;
    }
    const double expected = request.shares_processor ? tail : ExpectedTailRatio(*it, request);
    if (expected > request.max_expected_tail) continue;
    best = it;
    best_score = score;
    if (IsBestInOrder(score, *request.step)) break;
  }
  return best;
}

}  // namespace

bool IsMember(const WorkerState& worker, TimePoint now) {
  // A registration that expired during an outage of the store reappears soon after, and the worker
  // still answers heartbeats.
  const bool registered = worker.registered || now < worker.deregistered_at + kReregistrationGrace;
  return registered && !worker.info.draining;
}

bool IsCold(const WorkerState& worker, TimePoint now) { return now < worker.cold_until; }

bool AcceptsTasks(const WorkerState& worker, TimePoint now) {
  if (worker.evacuated || (IsCold(worker, now) && now < worker.next_cold_start)) return false;
  return IsMember(worker, now) && worker.recorded && worker.contacted && !worker.info_outdated &&
         !worker.lease_bounded && worker.unanswered_calls == 0 && now >= worker.backoff_until;
}

bool IsEligible(const WorkerState& worker, const PlacementRequest& request, TimePoint now) {
  const jobs::Step& step = *request.step;
  if (request.permits != nullptr &&
      FindPermit(*request.permits, worker.info.id, worker.info.incarnation, now) == nullptr) {
    return false;
  }
  if (worker.info.service != request.service || !AcceptsTasks(worker, now)) return false;
  // Failed runs of a perpetual task consume no attempts, so a suspect worker is better than none.
  if (now < worker.suspect_until && !step.perpetual) return false;
  if (request.avoids_slow && worker.speed.is_avoided) return false;
  if (!request.rack.empty() && worker.info.rack != request.rack) return false;
  if (!step.required_label.empty() && worker.info.labels.count(step.required_label) == 0) {
    return false;
  }
  if (step.max_per_worker > 0 &&
      RunsOnWorker(*request.state, worker.info.id) >= step.max_per_worker) {
    return false;
  }
  // Two runs of the same task on one worker could not be told apart.
  if (request.task == nullptr) return true;
  return std::none_of(request.task->runs.begin(), request.task->runs.end(),
                      [&worker](const RunLocation& it) { return it.worker == worker.info.id; });
}

Obstacle ObstacleOn(const WorkerState& worker, const PlacementRequest& request, TimePoint now) {
  if (!AcceptsTasks(worker, now)) return Obstacle::kUnavailable;
  if (!IsEligible(worker, request, now)) return Obstacle::kIneligible;
  if (!Fits(StepReservation(*request.step), FreeCapacity(worker))) return Obstacle::kReservation;
  if (!HasCapacityFor(worker, request)) return Obstacle::kProcessor;
  if (KeepsTailsShort(worker, request)) return Obstacle::kNone;
  return ReportedTailRatio(*request.colocation, worker) > request.max_tail
             ? Obstacle::kTail
             : Obstacle::kExpectedTail;
}

std::map<Obstacle, int> CountObstacles(const std::map<std::string, WorkerState>& workers,
                                       const PlacementRequest& request, TimePoint now) {
  std::map<Obstacle, int> out;
  for (const auto& [id, it] : workers) {
    if (it.info.service == request.service) out[ObstacleOn(it, request, now)] += 1;
  }
  return out;
}

std::vector<std::string> RacksByFreeCapacity(const std::map<std::string, WorkerState>& workers,
                                             const PlacementRequest& request, TimePoint now) {
  std::map<std::string, int64_t> available;
  for (const auto& [id, it] : workers) {
    if (!IsEligible(it, request, now)) continue;
    available[it.info.rack] += std::max<int64_t>(0, FreeCapacity(it).cpu_milli);
  }
  std::vector<std::pair<int64_t, std::string>> ranked;
  for (const auto& [rack, cpu_milli] : available) ranked.emplace_back(-cpu_milli, rack);
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> racks;
  for (const auto& [negated_cpu, rack] : ranked) racks.push_back(rack);
  return racks;
}

bool FitsOneRack(const std::map<std::string, WorkerState>& workers,
                 const PlacementRequest& request) {
  const Resources need = StepReservation(*request.step);
  std::map<std::string, int> tasks;
  for (const auto& [id, it] : workers) {
    if (it.info.service != request.service || it.evacuated) continue;
    Resources available = it.info.capacity;
    for (int n = 0; n < request.step->replicas && Fits(need, available); ++n) {
      tasks[it.info.rack] += 1;
      available = available - need;
    }
  }
  return std::any_of(tasks.begin(), tasks.end(),
                     [&request](const auto& it) { return it.second >= request.step->replicas; });
}

std::vector<std::pair<std::string, int64_t>> PermitCandidates(
    const std::map<std::string, WorkerState>& workers, const PlacementRequest& request, size_t most,
    TimePoint now) {
  PlacementRequest any = request;
  any.permits = nullptr;
  std::vector<std::tuple<bool, Score, const WorkerState*>> candidates;
  for (const auto& [id, it] : workers) {
    if (!IsUndecided(*request.permits, id, it.info.incarnation, now)) continue;
    if (!IsEligible(it, any, now)) continue;
    const bool full = !HasCapacityFor(it, any) || !KeepsTailsShort(it, any);
    candidates.emplace_back(full, ScoreOf(it, any, ScoredTailRatio(it, any), now), &it);
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<std::pair<std::string, int64_t>> out;
  for (const auto& [full, score, worker] : candidates) {
    if (out.size() == most) break;
    out.emplace_back(worker->info.id, worker->info.incarnation);
  }
  return out;
}

Resources StepReservation(const jobs::Step& step) {
  Resources need = step.request;
  if (step.best_effort) need.cpu_milli = 0;
  return need;
}

bool IsUnderused(const SpareProcessor& spare) {
  const auto underused = [](int64_t reserved, int64_t capacity) {
    return static_cast<double>(reserved) < kUnderusedFraction * static_cast<double>(capacity);
  };
  return underused(spare.reserved, spare.capacity) ||
         underused(spare.open_reserved, spare.open_capacity);
}

bool HasUnusedProcessor(const SpareProcessor& spare, int64_t cpu_milli) {
  return static_cast<double>(spare.in_use + cpu_milli) <
         kUsableFraction * static_cast<double>(spare.left);
}

std::map<std::string, SpareProcessor> SpareProcessors(
    const std::map<std::string, WorkerState>& workers, TimePoint now) {
  std::map<std::string, SpareProcessor> spare;
  const std::string* service = nullptr;
  SpareProcessor* last = nullptr;
  for (const auto& [id, it] : workers) {
    if (!IsMember(it, now)) continue;
    // Most neighbours in the table are of one service.
    if (service == nullptr || *service != it.info.service) last = &spare[it.info.service];
    service = &it.info.service;
    SpareProcessor& of_service = *last;
    of_service.capacity += it.info.capacity.cpu_milli;
    of_service.reserved += it.used.cpu_milli;
    of_service.open_capacity += it.evacuated ? 0 : it.info.capacity.cpu_milli;
    of_service.open_reserved += it.evacuated ? 0 : it.used.cpu_milli;
    if (!AcceptsTasks(it, now)) continue;
    of_service.most = std::max(of_service.most, SpareCpu(it));
    of_service.left += SpareCpu(it) + it.best_effort_cpu;
    of_service.in_use += it.best_effort_use;
  }
  return spare;
}

bool FitsEmptyWorker(const std::map<std::string, WorkerState>& workers, const std::string& service,
                     const jobs::Step& step, TimePoint now) {
  return std::any_of(workers.begin(), workers.end(), [&](const auto& entry) {
    const WorkerInfo& info = entry.second.info;
    const bool labelled = step.required_label.empty() || info.labels.count(step.required_label) > 0;
    return info.service == service && labelled && Fits(step.request, info.capacity) &&
           IsMember(entry.second, now) && !entry.second.evacuated;
  });
}

WorkerState* ChooseWorker(const WorkerIndex& index, const PlacementRequest& request,
                          TimePoint now) {
  const auto workers = index.find(request.service);
  if (workers == index.end()) return nullptr;
  const jobs::Step& step = *request.step;
  if (!step.best_effort && step.target_tail_ms <= 0) {
    return BestWorker(workers->second.by_serving, request, now);
  }
  return BestWorker(workers->second.by_spare, request, now);
}

}  // namespace pomelopond::dispatch
