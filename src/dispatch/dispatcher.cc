#include "dispatch/dispatcher.h"

#include <algorithm>
#include <iterator>

#include "base/log.h"
#include "base/result_code.h"
#include "dispatch/choose_worker.h"
#include "dispatch/job_memory.h"
#include "jobs/job_size.h"

namespace pomelopond::dispatch {
namespace {

// Allowance for clocks and timers of a worker, beyond their rate, when an inherited lease ends.
constexpr Duration kInheritedLeaseSlack = std::chrono::milliseconds(300);

}  // namespace

std::string Encode(const std::vector<WorkerInUse>& workers) {
  Json out = Json::array();
  for (const WorkerInUse& it : workers) {
    out.push_back({it.id, it.service, ToString(it.endpoint)});
  }
  std::string bytes;
  Json::to_msgpack(out, bytes);
  return bytes;
}

Result<std::vector<WorkerInUse>> DecodeWorkersInUse(const std::string& bytes) {
  const Json in = ParseMessagePack(bytes);
  std::vector<WorkerInUse> workers;
  try {
    for (const Json& it : in.get_ref<const Json::array_t&>()) {
      const Result<Endpoint> endpoint = ParseEndpoint(it.at(2).get<std::string>());
      if (!endpoint.ok()) return {ResultCode::kStoreBadAnswer, {}};
      workers.push_back({it.at(0).get<std::string>(), it.at(1).get<std::string>(), endpoint.value});
    }
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(workers)};
}

Dispatcher::Dispatcher(const DispatchLimits& limits, int64_t epoch, TimePoint now)
    : limits_(limits), epoch_(epoch), took_over_(now), last_proof_(now), service_checked_at_(now) {}

void Dispatcher::OnOwnershipProof(TimePoint at) { last_proof_ = std::max(last_proof_, at); }

bool Dispatcher::AwaitsOwnershipProof(TimePoint now) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const auto& [id, it] = entry;
    if (it.lease_ends > now || it.lease_ends <= last_proof_) return false;
    return !it.runs.empty() || unreconciled_.count(id) > 0;
  });
}

void Dispatcher::OnProvenRevision(int64_t revision) {
  if (revision <= proven_revision_) return;
  if (UnprovenRevision() != 0) capacity_changed_ = true;
  proven_revision_ = revision;
}

int64_t Dispatcher::UnprovenRevision() const {
  return newest_revision_ > proven_revision_ ? newest_revision_ : 0;
}

WorkerState* Dispatcher::FindWorker(const std::string& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

JobEntry* Dispatcher::FindEntry(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const JobEntry* Dispatcher::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void Dispatcher::MarkDirty(const std::string& job) {
  if (!dirty_jobs_.insert(job).second) return;
  generation_ += 1;
  dirty_.emplace_back(generation_, job);
}

bool Dispatcher::IsDurable(const std::string& job) const {
  if (dirty_jobs_.count(job) > 0) return false;
  return std::none_of(jobs_in_commit_.begin(), jobs_in_commit_.end(),
                      [&job](const auto& it) { return it.second == job; });
}

void Dispatcher::UpdatePlaceable(JobEntry* entry) {
  const bool waiting = HasWaitingTask(*entry);
  if (waiting) capacity_changed_ = true;
  if (waiting == entry->placeable) return;
  entry->placeable = waiting;
  const auto place =
      std::lower_bound(placeable_.begin(), placeable_.end(), entry,
                       [](const JobEntry* a, const JobEntry* b) { return a->job.id < b->job.id; });
  if (waiting) {
    placeable_.insert(place, entry);
  } else {
    placeable_.erase(place);
  }
}

void Dispatcher::AddJob(const jobs::Job& job, const jobs::JobProgress& progress, bool inherited,
                        int64_t revision) {
  if (jobs_.count(job.id) > 0) return;
  const auto removed = removed_jobs_.find(job.id);
  if (removed != removed_jobs_.end() && revision < removed->second) return;
  JobEntry& entry = jobs_[job.id] = MakeEntry(job, progress, inherited);
  entry.revision = revision;
  // A job that an earlier version accepted goes on task by task, whatever its record may take.
  entry.max_tasks_under_way =
      std::max<int64_t>(1, jobs::MaxTasksUnderWay(job, limits_.max_value_bytes));
  newest_revision_ = std::max(newest_revision_, revision);
  entry.max_memory_bytes = MaxMemoryBytes(job, limits_.max_value_bytes);
  if (jobs::IsFinal(entry.state)) {
    finished_.emplace_back(entry.finished_ms, job.id);
  } else if (jobs::IsPerpetual(job)) {
    perpetual_.push_back(&entry);
  } else if (IsComplete(entry)) {
    FinishJob(&entry, jobs::JobState::kCompleted, job.accepted_ms);
  }
  UpdatePlaceable(&entry);
}

void Dispatcher::OnJobsSeen(int64_t revision) {
  jobs_revision_ = std::max(jobs_revision_, revision);
  // Lists and changes that follow are newer.
  for (auto it = removed_jobs_.begin(); it != removed_jobs_.end();) {
    it = it->second <= revision ? removed_jobs_.erase(it) : std::next(it);
  }
}

void Dispatcher::CancelJob(const std::string& id, int64_t wall_ms) {
  JobEntry* entry = FindEntry(id);
  if (entry == nullptr || jobs::IsFinal(entry->state)) return;
  Log(LogLevel::kInfo, "dispatch", "job_cancelled", {{"job", id}});
  FinishJob(entry, jobs::JobState::kCancelled, wall_ms);
}

void Dispatcher::InheritWorker(const WorkerInUse& worker, const LeaseBounds& bounds,
                               TimePoint now) {
  WorkerState& state = workers_[worker.id];
  state.info.id = worker.id;
  state.info.service = worker.service;
  state.info.endpoint = worker.endpoint;
  state.recorded = true;
  state.inherited = true;
  // Every lease that the earlier owner granted ends within this time of its last proof of
  // ownership.
  const auto horizon = std::chrono::duration_cast<Duration>(limits_.lease_horizon / kMinClockRate);
  Duration left = horizon + kInheritedLeaseSlack;
  const LeaseBounds valid = BoundsFor(epoch_, bounds);
  const auto bound = valid.left_ms.find(worker.id);
  if (bound != valid.left_ms.end()) {
    left = std::min<Duration>(left, std::chrono::milliseconds(bound->second));
    // This owner's first commit writes the bound again, for an owner that follows soon.
    state.unanswered_heartbeats = kHeartbeatsBeforeBound;
  }
  state.lease_ends = now + left;
  state.inherited_until = state.lease_ends;
  CheckSoon(state);
  unreconciled_.insert(worker.id);
  Reindex(&index_, &state);
}

void Dispatcher::UpdateWorker(const WorkerInfo& info, TimePoint now) {
  const auto [entry, added] = workers_.try_emplace(info.id);
  WorkerState& state = entry->second;
  // The bound outlives the entry of a worker that was gone for a while.
  if (added && written_bounds_.left_ms.count(info.id) > 0) {
    state.lease_bounded = true;
    lease_bounds_due_ = now;
  }
  const bool restarted = state.info.incarnation != 0 && info.incarnation > state.info.incarnation;
  const bool older = info.incarnation < state.info.incarnation;
  if (older) return;
  state.registered = true;
  const bool moved = state.info.endpoint != info.endpoint;
  // A registration that is only read again must not prolong the cold time. `info_outdated` is set
  // if an answer has shown a restart before the registration did.
  const bool repeated =
      !added && !restarted && !state.info_outdated && state.info.cold_ms == info.cold_ms;
  if (!repeated) state.cold_until = now + std::chrono::milliseconds(info.cold_ms);
  state.info = info;
  state.evacuated = evacuated_domains_.count(info.failure_domain) > 0;
  CheckSoon(state);
  Reindex(&index_, &state);
  // The next owner would not find the worker under the recorded endpoint.
  if (moved) state.recorded = false;
  if ((!state.recorded && !info.draining) || moved) workers_changed_ = true;
  state.info_outdated = false;
  if (restarted) HandleRestart(&state, now);
}

void Dispatcher::DeregisterWorker(const std::string& id, TimePoint now) {
  WorkerState* worker = FindWorker(id);
  if (worker == nullptr || !worker->registered) return;
  worker->registered = false;
  worker->deregistered_at = now;
  CheckSoon(*worker);
}

std::vector<std::string> Dispatcher::RegisteredWorkers() const {
  std::vector<std::string> ids;
  for (const auto& [id, it] : workers_) {
    if (it.registered) ids.push_back(id);
  }
  return ids;
}

WaitingCounts Dispatcher::CurrentWaitingCounts(int64_t wall_ms) const {
  WaitingCounts counts;
  counts.jobs_revision = jobs_revision_;
  for (const auto& [id, it] : jobs_) {
    if (!jobs::IsFinal(it.state)) counts.job_bytes += it.max_memory_bytes;
    if (it.state != jobs::JobState::kPending) continue;
    if (DueMs(it.job, 0) > wall_ms) continue;
    counts.by_queue[it.job.rules.queue] += 1;
  }
  return counts;
}

}  // namespace pomelopond::dispatch
