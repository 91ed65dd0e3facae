#include "dispatch/gang_room.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dispatch/choose_worker.h"

namespace pomelopond::dispatch {
namespace {

void CountLooks(const PlacementRequest& request, size_t n) {
  if (request.looks != nullptr) *request.looks += static_cast<int64_t>(n);
}

int64_t Quotient(int64_t room, int64_t need, int64_t most) {
  return need <= 0 ? most : std::min(most, room / need);
}

}  // namespace

int64_t TasksThatFit(const Resources& need, const Resources& room, int64_t most) {
  if (!Fits(need, room)) return 0;
  const int64_t by_cpu = Quotient(room.cpu_milli, need.cpu_milli, most);
  const int64_t by_memory = Quotient(room.memory_mb, need.memory_mb, most);
  return std::min({by_cpu, by_memory, Quotient(room.accelerators, need.accelerators, most)});
}

int64_t MembersOn(const WorkerState& worker, const PlacementRequest& request, int64_t most,
                  TimePoint now) {
  if (!HasCapacityFor(worker, request) || !IsEligible(worker, request, now)) return 0;
  if (!HasShortTails(worker, request)) return 0;
  const jobs::Step& step = *request.step;
  int64_t n = TasksThatFit(StepReservation(step), FreeCapacity(worker), most);
  if (step.best_effort && !request.shares_processor) {
    n = Quotient(SpareCpu(worker), step.request.cpu_milli, n);
  }
  if (step.max_per_worker > 0) {
    n = std::min<int64_t>(n, step.max_per_worker - RunsOnWorker(*request.state, worker.info.id));
  }
  return n;
}

bool MayHoldGang(const WorkerIndex& index, const PlacementRequest& request, int64_t members,
                 TimePoint now) {
  const auto workers = index.find(request.service);
  if (workers == index.end()) return false;
  int64_t room = 0;
  int64_t looks = 0;
  for (const WorkerState* it : workers->second.by_spare) {
    looks += 1;
    room += MembersOn(*it, request, members, now);
    if (room >= members) break;
  }
  CountLooks(request, static_cast<size_t>(looks));
  return room >= members;
}

std::vector<std::string> RacksForGang(const WorkerIndex& index, const PlacementRequest& request,
                                      int64_t members, TimePoint now) {
  struct RackRoom {
    int64_t members = 0;
    int64_t free_cpu = 0;
  };
  const auto workers = index.find(request.service);
  if (workers == index.end()) return {};
  std::map<std::string, RackRoom> racks;
  for (const WorkerState* it : workers->second.by_spare) {
    if (!IsEligible(*it, request, now)) continue;
    RackRoom& rack = racks[it->info.rack];
    rack.members += MembersOn(*it, request, members, now);
    rack.free_cpu += std::max<int64_t>(0, FreeCapacity(*it).cpu_milli);
  }
  CountLooks(request, workers->second.by_spare.size());
  std::vector<std::pair<int64_t, std::string>> ranked;
  for (const auto& [rack, room] : racks) {
    if (room.members >= members) ranked.emplace_back(-room.free_cpu, rack);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> out;
  for (auto& [negated_cpu, rack] : ranked) out.push_back(std::move(rack));
  return out;
}

bool FitsOneRack(const std::map<std::string, WorkerState>& workers,
                 const PlacementRequest& request) {
  const Resources need = StepReservation(*request.step);
  const int64_t members = request.step->replicas;
  CountLooks(request, workers.size());
  std::map<std::string, int64_t> room;
  for (const auto& [id, it] : workers) {
    if (it.info.service != request.service || it.evacuated) continue;
    room[it.info.rack] += TasksThatFit(need, it.info.capacity, members);
  }
  return std::any_of(room.begin(), room.end(),
                     [members](const auto& it) { return it.second >= members; });
}

MemberPlaces::MemberPlaces(const WorkerIndex& index, const PlacementRequest& request, TimePoint now)
    : request_(request), now_(now) {
  const auto workers = index.find(request.service);
  if (workers == index.end()) return;
  for (WorkerState* it : workers->second.by_spare) Add(it);
  CountLooks(request, workers->second.by_spare.size());
}

WorkerState* MemberPlaces::Next() {
  // The members so far change the score of the last worker only.
  if (last_ != nullptr) Add(last_);
  last_ = nullptr;
  if (places_.empty()) return nullptr;
  std::pop_heap(places_.begin(), places_.end(), IsWorse);
  last_ = places_.back().worker;
  places_.pop_back();
  CountLooks(request_, 1);
  return last_;
}

bool MemberPlaces::IsWorse(const Place& a, const Place& b) {
  return std::tie(b.score, b.worker->info.id) < std::tie(a.score, a.worker->info.id);
}

void MemberPlaces::Add(WorkerState* worker) {
  if (!HasCapacityFor(*worker, request_) || !IsEligible(*worker, request_, now_)) return;
  if (!HasShortTails(*worker, request_)) return;
  const double tail = ScoredTailRatio(*worker, request_);
  const double expected = request_.shares_processor ? tail : ExpectedTailRatio(*worker, request_);
  if (expected > request_.max_expected_tail) return;
  places_.push_back({ScoreOf(*worker, request_, tail, now_), worker});
  std::push_heap(places_.begin(), places_.end(), IsWorse);
}

}  // namespace pomelopond::dispatch
