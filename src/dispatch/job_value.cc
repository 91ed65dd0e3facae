#include "dispatch/job_value.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "dispatch/choose_worker.h"

namespace pomelopond::dispatch {
namespace {

// Smallest weight of one job in the moving average of its queue: the mean follows a change of the
// load within some hundred jobs, a few minutes of a queue.
constexpr double kMinWorkWeight = 0.005;
// The value of a job that completes on time: one part for its caller, who waits whatever its size,
// and an equal one in proportion to its work. By the caller alone the largest jobs would always be
// last.
constexpr double kValuePerJob = 0.5;
constexpr double kValuePerWork = 0.5;
// Share of the jobs that are ordered by age. With a smaller one, the largest tenth of the jobs is
// on time less than half as often as all of them at 2.5 times the load that the pool can serve
// (docs/design/overload.md).
constexpr uint64_t kAgeOrderedJobs = 3;
constexpr uint64_t kJobsPerAgeShare = 10;
// Bits of an order below the class. They hold a time in ms since the Unix epoch.
constexpr int kOrderBits = 43;
constexpr int64_t kMaxOrder = (int64_t{1} << (kOrderBits - 1)) - 1;

}  // namespace

void LearnWork(WorkModel* model, const std::string& queue, double core_ms) {
  QueueWork& work = (*model)[queue];
  work.jobs += 1;
  const double weight = std::max(kMinWorkWeight, 1 / static_cast<double>(work.jobs));
  work.mean_core_ms += weight * (core_ms - work.mean_core_ms);
}

double MeanWork(const WorkModel& model, const std::string& queue) {
  const auto it = model.find(queue);
  return it == model.end() ? 0 : it->second.mean_core_ms;
}

double ValueOf(double core_ms, double mean_core_ms) {
  if (mean_core_ms <= 0) return 1;
  return kValuePerJob + kValuePerWork * core_ms / mean_core_ms;
}

int CostClassOf(double remaining_core_ms, double value) {
  const double cost = std::max(1.0, remaining_core_ms) / value;
  return std::clamp(std::ilogb(cost), kFirstCostClass + 1, kLastCostClass);
}

bool IsOrderedByAge(const std::string& job) {
  return StableHash(job) % kJobsPerAgeShare < kAgeOrderedJobs;
}

int64_t CostOrder(int cost_class, int64_t age_order) {
  return int64_t{cost_class} * (int64_t{1} << kOrderBits) +
         std::clamp(age_order, -kMaxOrder, kMaxOrder);
}

RoomByService MeasureRoom(const std::map<std::string, WorkerState>& workers, TimePoint now) {
  RoomByService rooms;
  for (const auto& [id, it] : workers) {
    if (!IsMember(it, now) || it.evacuated) continue;
    ServiceRoom& room = rooms[it.info.service];
    room.free += it.info.capacity.cpu_milli - it.used.cpu_milli + it.stopping.cpu_milli;
    for (const auto& [priority, used] : it.preemptible) room.in_use[priority] += used.cpu_milli;
  }
  return rooms;
}

int64_t RoomOf(const RoomByService& rooms, const std::string& service, int priority) {
  const auto it = rooms.find(service);
  if (it == rooms.end()) return kUnlimitedRoom;
  int64_t room = it->second.free;
  for (const auto& [other, in_use] : it->second.in_use) room += other >= priority ? in_use : 0;
  return room;
}

int64_t WavesOf(const jobs::Step& step, int64_t tasks, int64_t room_cpu_milli) {
  if (step.gang || step.request.cpu_milli <= 0) return 1;
  const int64_t at_once = std::max<int64_t>(1, room_cpu_milli / step.request.cpu_milli);
  return std::max<int64_t>(1, tasks / at_once + (tasks % at_once > 0 ? 1 : 0));
}

}  // namespace pomelopond::dispatch
