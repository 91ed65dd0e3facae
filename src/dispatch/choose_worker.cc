#include "dispatch/choose_worker.h"

#include <algorithm>
#include <tuple>

#include "dispatch/failures.h"

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

bool KeepsTailsShort(const WorkerState& worker, const PlacementRequest& request) {
  return HasShortTails(worker, request) &&
         ExpectedTailRatio(worker, request) <= request.max_expected_tail;
}

// Returns the worker with the best score, and of those the one with the lowest id. `order` lists
// workers of otherwise equal score by their spare processor time.
template <class Order>
WorkerState* BestWorker(const Order& order, const PlacementRequest& request, TimePoint now) {
  const bool needs_spare = request.step->best_effort && !request.shares_processor;
  WorkerState* best = nullptr;
  Score best_score;
  int64_t looks = 0;
  for (WorkerState* it : order) {
    looks += 1;
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
  if (request.looks != nullptr) *request.looks += looks;
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
  // Otherwise a suspect worker is better than none: the tasks may be at fault, on all workers.
  if (IsSuspect(worker, now) && (request.avoids_suspect || !MayTry(worker, request, now)))
    return false;
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
