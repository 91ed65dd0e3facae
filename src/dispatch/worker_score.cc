#include "dispatch/worker_score.h"

#include <algorithm>

#include "dispatch/choose_worker.h"
#include "dispatch/failures.h"
#include "dispatch/worker_index.h"

namespace pomelopond::dispatch {
namespace {

// True when the worker runs a latency-critical task of another image. Images differ in the
// best-effort tasks that interfere with them, so a worker with a single image can take more
// best-effort tasks.
bool ServesOthers(const WorkerState& worker, const std::string& image) {
  return std::any_of(worker.runs.begin(), worker.runs.end(), [&image](const auto& it) {
    return it.second.target_tail_ms > 0 && it.second.image != image;
  });
}

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

}  // namespace

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

double ScoredTailRatio(const WorkerState& worker, const PlacementRequest& request) {
  return request.shares_processor ? ExpectedTailRatio(worker, request) : 0;
}

Score ScoreOf(const WorkerState& worker, const PlacementRequest& request, double tail,
              TimePoint now) {
  const jobs::Step& step = *request.step;
  const bool suspect =
      IsSuspect(worker, now) ||
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

bool IsBestInOrder(const Score& score, const jobs::Step& step) {
  // The index does not know which images a worker serves.
  if (!step.best_effort && step.target_tail_ms > 0) return false;
  const bool outside_preferred_rack = std::get<1>(score);
  const bool long_tail = step.best_effort && std::get<2>(score);
  return std::get<0>(score) == 0 && !outside_preferred_rack && !long_tail;
}

}  // namespace pomelopond::dispatch
