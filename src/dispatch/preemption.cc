#include "dispatch/preemption.h"

#include <algorithm>

namespace pomelopond::dispatch {
namespace {

// Work since the last checkpoint is lost; checkpoints are at most this far apart.
constexpr Duration kCheckpointInterval = std::chrono::seconds(1);

// Core-seconds that a stop of the run throws away.
double LostWork(const RunState& run, TimePoint now) {
  Duration lost = now - run.since;
  if (run.checkpoint) lost = std::min(lost, kCheckpointInterval);
  return static_cast<double>(lost.count()) / 1e6 * static_cast<double>(run.request.cpu_milli) /
         1000;
}

struct Option {
  Preemption preemption;
  double lost_work = 0;
};

std::optional<Option> MakeRoom(const WorkerState& worker, const Resources& need, int priority,
                               const Resources& claimed, TimePoint now) {
  Resources room = RoomOf(worker) - claimed;
  std::vector<std::pair<double, RunId>> candidates;
  for (const auto& [id, it] : worker.runs) {
    if (it.phase == RunPhase::kStopping) {
      room = room + CountedOf(it);
    } else if (it.priority > priority && !it.perpetual) {
      candidates.emplace_back(LostWork(it, now), id);
    }
  }
  Option option;
  option.preemption.worker = worker.info.id;
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [lost, id] : candidates) {
    if (Fits(need, room)) break;
    const Resources freed = CountedOf(worker.runs.at(id));
    const bool helps = (need.cpu_milli > room.cpu_milli && freed.cpu_milli > 0) ||
                       (need.memory_mb > room.memory_mb && freed.memory_mb > 0) ||
                       (need.accelerators > room.accelerators && freed.accelerators > 0);
    if (!helps) continue;
    room = room + freed;
    option.lost_work += lost;
    option.preemption.victims.push_back(id);
  }
  if (!Fits(need, room)) return std::nullopt;
  return option;
}

}  // namespace

std::optional<Preemption> ChoosePreemption(const std::map<std::string, WorkerState>& workers,
                                           const PlacementRequest& request, int priority,
                                           ClaimedRoom* claimed, TimePoint now) {
  std::optional<Option> best;
  const Resources need = NeedOf(*request.step);
  for (const auto& [id, it] : workers) {
    if (!IsEligible(it, request, now)) continue;
    const auto taken = claimed->find(id);
    const std::optional<Option> option =
        MakeRoom(it, need, priority, taken == claimed->end() ? Resources{} : taken->second, now);
    if (!option || (best && best->lost_work <= option->lost_work)) continue;
    best = option;
  }
  if (!best) return std::nullopt;
  Resources& taken = (*claimed)[best->preemption.worker];
  taken = taken + need;
  return best->preemption;
}

}  // namespace pomelopond::dispatch
