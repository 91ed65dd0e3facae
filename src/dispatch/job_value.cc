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
// Share of the jobs that are ordered by age. With a tenth and a fifth, the largest tenth of the
// jobs was on time less than half as often as all of them at 2.5 times the load that the pool can
// serve.
constexpr uint64_t kAgeOrderedJobs = 1;
constexpr uint64_t kJobsPerAgeShare = 4;
// Part of a job's slack that is kept for wrong estimates. With half of it, 1 to 2% less of the
// value of all jobs was on time at 1.2 to 2.5 times the load that the pool can serve.
constexpr double kSafetyShare = 0.75;

// Layout of an order: class, whether the safety share is touched, and a number of 43 bits, which
// holds a time in ms since the Unix epoch.
constexpr int kOrderBits = 43;
constexpr int64_t kMaxOrder = (int64_t{1} << (kOrderBits - 1)) - 1;

int64_t PackOrder(int cost_class, bool after, int64_t order) {
  const int64_t group = int64_t{cost_class} * 2 + (after ? 1 : 0);
  return group * (int64_t{1} << kOrderBits) + std::clamp(order, -kMaxOrder, kMaxOrder);
}

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

int64_t PendingOrder(const JobCost& cost, double laxity_ms) {
  const bool safe = laxity_ms >= kSafetyShare * cost.slack_ms;
  const auto most = static_cast<double>(kMaxOrder);
  const int64_t laxity = std::llround(std::clamp(laxity_ms, -most, most));
  return PackOrder(cost.cost_class, !safe, safe ? laxity : -laxity);
}

int64_t StartedOrder(const JobCost& cost, int64_t age_order) {
  return PackOrder(cost.cost_class, false, age_order);
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
