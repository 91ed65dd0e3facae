#include "dispatch/preemption.h"

#include <algorithm>
#include <tuple>

#include "dispatch/failures.h"

namespace pomelopond::dispatch {
namespace {

// Bound on the work that a stopped run loses if it writes checkpoints: they are at most this far
// apart.
constexpr Duration kCheckpointInterval = std::chrono::seconds(1);

struct PreemptionCandidate {
  Preemption preemption;
  bool slow = false;  // the worker is
  double lost_work = 0;
};

std::optional<PreemptionCandidate> FindVictims(const WorkerState& worker, const Resources& need,
                                               int priority, const Resources& reserved,
                                               TimePoint now) {
  Resources available = FreeCapacity(worker) - reserved;
  std::vector<std::pair<double, RunId>> candidates;
  for (const auto& [id, it] : worker.runs) {
    if (it.phase == RunPhase::kStopping) {
      available = available + RunReservation(it);
    } else if (it.priority > priority && !it.perpetual) {
      candidates.emplace_back(LostWork(it, now), id);
    }
  }
  PreemptionCandidate candidate;
  candidate.preemption.worker = worker.info.id;
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [lost, id] : candidates) {
    if (Fits(need, available)) break;
    const Resources freed = RunReservation(worker.runs.at(id));
    const bool helps = (need.cpu_milli > available.cpu_milli && freed.cpu_milli > 0) ||
                       (need.memory_mb > available.memory_mb && freed.memory_mb > 0) ||
                       (need.accelerators > available.accelerators && freed.accelerators > 0);
    if (!helps) continue;
    available = available + freed;
    candidate.lost_work += lost;
    candidate.preemption.victims.push_back(id);
  }
  if (!Fits(need, available)) return std::nullopt;
  return candidate;
}

}  // namespace

double LostWork(const RunState& run, TimePoint now) {
  Duration lost = now - run.ordered_at;
  if (run.checkpoint) lost = std::min(lost, kCheckpointInterval);
  return static_cast<double>(lost.count()) / 1e6 * static_cast<double>(run.request.cpu_milli) /
         1000;
}

Resources MostRoom(const std::map<std::string, WorkerState>& workers, const std::string& service,
                   int priority, TimePoint now) {
  Resources most;
  for (const auto& [id, it] : workers) {
    if (it.info.service != service || !AcceptsTasks(it, now)) continue;
    const Resources room = FreeCapacity(it) + MostReleasable(it, priority);
    most.cpu_milli = std::max(most.cpu_milli, room.cpu_milli);
    most.memory_mb = std::max(most.memory_mb, room.memory_mb);
    most.accelerators = std::max(most.accelerators, room.accelerators);
  }
  return most;
}

std::optional<Preemption> ChoosePreemption(const std::map<std::string, WorkerState>& workers,
                                           const PlacementRequest& request, int priority,
                                           ReservedCapacity* reserved, TimePoint now) {
  std::optional<PreemptionCandidate> best;
  const Resources need = StepReservation(*request.step);
  for (const auto& [id, it] : workers) {
    // Most workers cannot make room, which the sums of their runs tell without a look at each.
    const Resources room = FreeCapacity(it) + MostReleasable(it, priority);
    if (!Fits(need, room)) continue;
    const auto found = reserved->find(id);
    const Resources taken = found == reserved->end() ? Resources{} : found->second;
    if (!Fits(need, room - taken)) continue;
    // A trial is not worth a run that works.
    if (IsSuspect(it, now) && !request.step->perpetual) continue;
    if (!IsEligible(it, request, now)) continue;
    std::optional<PreemptionCandidate> candidate = FindVictims(it, need, priority, taken, now);
    if (!candidate) continue;
    candidate->slow = it.speed.is_avoided;
    if (best &&
        std::tie(best->slow, best->lost_work) <= std::tie(candidate->slow, candidate->lost_work)) {
      continue;
    }
    best = candidate;
  }
  if (!best) return std::nullopt;
  Resources& taken = (*reserved)[best->preemption.worker];
  taken = taken + need;
  return best->preemption;
}

}  // namespace pomelopond::dispatch
