// Commits of the dispatcher: what must be durable, and what follows once it is.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "dispatch/dispatcher.h"
#include "dispatch/lease_bounds.h"
#include "store/key_store.h"

namespace pomelopond::dispatch {
namespace {

// Maximum number of job records in one commit. It leaves room for the other entries of a
// transaction.
constexpr size_t kMaxJobsInCommit = 20;
constexpr size_t kMaxRemovedInCommit = 2;
// A removed job has three keys. The remaining six entries are the condition, the term, the workers
// in use, the lease bounds, the waiting counts and the mark of a full pool.
static_assert(kMaxJobsInCommit + 3 * kMaxRemovedInCommit + 6 <= store::kMaxTransactionEntries);
// Minimum time between two looks at the waiting counts, which go through all jobs. Also the one
// between commits of them.
constexpr Duration kCountsInterval = std::chrono::milliseconds(500);

// Time between commits of the lease bounds, which shrink as time passes.
constexpr Duration kLeaseBoundsInterval = std::chrono::seconds(1);

// Time after which state that the store has rejected by itself is written again. It may have become
// smaller.
constexpr Duration kRejectedRetry = std::chrono::seconds(1);

// Part of the jobs' memory that is free before a full pool accepts jobs again.
constexpr int64_t kFreePart = 16;

bool HasPoolState(const Commit& commit) {
  return commit.workers_in_use || commit.lease_bounds || commit.waiting_counts ||
         commit.pool_full || !commit.removed_jobs.empty();
}

}  // namespace

// A worker that leaves is taken off the list once its runs have ended and the ends are durable, so
// the next owner doesn't wait for its answer. Nothing is started on it until it is on the list
// again.
std::string Dispatcher::EncodeWorkersInUse(uint64_t generation, TimePoint now) {
  std::vector<WorkerInUse> in_use;
  for (auto& [id, it] : workers_) {
    if (IsUnused(it, generation, now)) {
      it.recorded = false;
      continue;
    }
    in_use.push_back({id, it.info.service, it.info.endpoint});
  }
  return Encode(in_use);
}

// A worker that has not answered the last heartbeats gets a bound. From then on its lease is not
// extended until it answers and a commit without its bound is durable.
LeaseBounds Dispatcher::CurrentLeaseBounds(uint64_t generation, TimePoint now) const {
  LeaseBounds bounds;
  bounds.epoch = epoch_;
  for (const auto& [id, it] : workers_) {
    if (it.unanswered_heartbeats < kHeartbeatsBeforeBound) continue;
    const Duration left =
        IsEmpty(it, generation) ? Duration::zero() : std::max(it.lease_ends - now, Duration{});
    bounds.left_ms[id] = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  }
  return bounds;
}

std::optional<std::string> Dispatcher::NextLeaseBounds(uint64_t generation, TimePoint now) {
  lease_bounds_due_ = now + kLeaseBoundsInterval;
  LeaseBounds bounds = CurrentLeaseBounds(generation, now);
  if (bounds.left_ms == written_bounds_.left_ms && !write_bounds_again_) return std::nullopt;
  write_bounds_again_ = false;
  for (const auto& [id, left_ms] : bounds.left_ms) workers_[id].lease_bounded = true;
  written_bounds_ = std::move(bounds);
  return Encode(written_bounds_);
}

void Dispatcher::TakeDirtyJobs(Commit* commit) {
  const size_t most = jobs_to_isolate_ > 0 ? 1 : kMaxJobsInCommit;
  while (!dirty_.empty() && jobs_in_commit_.size() < most) {
    const auto [generation, id] = dirty_.front();
    dirty_.pop_front();
    dirty_jobs_.erase(id);
    commit->generation = generation;
    jobs_in_commit_.emplace_back(generation, id);
    const JobEntry* entry = FindEntry(id);
    if (entry != nullptr) commit->progress.emplace_back(id, jobs::Encode(ProgressOf(*entry)));
  }
  if (jobs_to_isolate_ > 0) jobs_to_isolate_ -= 1;
}

// A full pool has room again once a part of its memory is free, so that the mark is not written
// with each job.
bool Dispatcher::IsPoolFull(int64_t job_bytes) const {
  const int64_t most = limits_.job_memory_bytes;
  if (most == 0) return false;
  return job_bytes > (written_full_.value_or(false) ? most - most / kFreePart : most);
}

// Takes what belongs to no single job.
void Dispatcher::TakePoolState(Commit* commit, TimePoint now, int64_t wall_ms) {
  if (workers_changed_) {
    workers_changed_ = false;
    commit->workers_in_use = EncodeWorkersInUse(commit->generation, now);
  }
  if (now >= lease_bounds_due_) commit->lease_bounds = NextLeaseBounds(commit->generation, now);
  if (now - counts_checked_at_ >= kCountsInterval) {
    counts_checked_at_ = now;
    WaitingCounts counts = CurrentWaitingCounts(wall_ms);
    counts.forecasts = UpdateForecasts(now, wall_ms);
    const bool full = IsPoolFull(counts.job_bytes);
    if (full != written_full_) commit->pool_full = full;
    written_full_ = full;
    if (counts != written_counts_) {
      commit->waiting_counts = Encode(counts);
      written_counts_ = std::move(counts);
    }
  }
  for (const std::string& it : stored_final_) finished_.emplace_back(wall_ms, it);
  stored_final_.clear();
  const auto keep =
      std::chrono::duration_cast<std::chrono::milliseconds>(limits_.finished_retention).count();
  while (!finished_.empty() && commit->removed_jobs.size() < kMaxRemovedInCommit) {
    const auto& [shown_since_ms, id] = finished_.front();
    if (shown_since_ms + keep > wall_ms) break;
    commit->removed_jobs.push_back(id);
    finished_.pop_front();
  }
}

std::optional<Commit> Dispatcher::NextCommit(TimePoint now, int64_t wall_ms) {
  if (commit_in_flight_) return std::nullopt;
  Commit commit;
  jobs_in_commit_.clear();
  if (pool_state_alone_ && jobs_to_isolate_ == 0 && now >= pool_state_due_) {
    TakePoolState(&commit, now, wall_ms);
    pool_state_alone_ = HasPoolState(commit);
  }
  if (!HasPoolState(commit)) {
    const bool isolated = jobs_to_isolate_ > 0;
    TakeDirtyJobs(&commit);
    if (!isolated && !pool_state_alone_) TakePoolState(&commit, now, wall_ms);
  }
  if (commit.progress.empty() && !HasPoolState(commit)) return std::nullopt;
  commit_in_flight_ = true;
  return commit;
}

void Dispatcher::OnCommitRejected(const Commit& commit, TimePoint now, int64_t wall_ms) {
  commit_in_flight_ = false;
  Log(LogLevel::kError, "dispatch", "commit_rejected",
      {{"jobs", commit.progress.size()},
       {"workers_bytes", commit.workers_in_use.value_or("").size()},
       {"bounds_bytes", commit.lease_bounds.value_or("").size()},
       {"counts_bytes", commit.waiting_counts.value_or("").size()}});
  const bool has_pool_state = HasPoolState(commit);
  if (has_pool_state) RestorePoolState(commit, now, wall_ms);
  if (jobs_in_commit_.size() == 1 && !has_pool_state) {
    return FailUnstorableJob(jobs_in_commit_[0].second, jobs_in_commit_[0].first, wall_ms);
  }
  for (auto it = jobs_in_commit_.rbegin(); it != jobs_in_commit_.rend(); ++it) {
    dirty_.push_front(*it);
    dirty_jobs_.insert(it->second);
  }
  jobs_to_isolate_ += jobs_in_commit_.size();
  jobs_in_commit_.clear();
}

void Dispatcher::RestorePoolState(const Commit& commit, TimePoint now, int64_t wall_ms) {
  pool_state_alone_ = true;
  // If it is at fault by itself it is rejected again, so jobs are written in the meantime.
  pool_state_due_ = commit.progress.empty() ? now + kRejectedRetry : now;
  workers_changed_ = workers_changed_ || commit.workers_in_use.has_value();
  write_bounds_again_ = write_bounds_again_ || commit.lease_bounds.has_value();
  if (commit.waiting_counts) written_counts_ = {};
  if (commit.pool_full) written_full_.reset();
  for (auto it = commit.removed_jobs.rbegin(); it != commit.removed_jobs.rend(); ++it) {
    const JobEntry* entry = FindEntry(*it);
    finished_.emplace_front(entry == nullptr ? wall_ms : entry->finished_ms, *it);
  }
}

// Its last state is small, and it is written before any later change: ends that the rejected record
// told of are acknowledged with it.
void Dispatcher::FailUnstorableJob(const std::string& id, uint64_t generation, int64_t wall_ms) {
  JobEntry* entry = FindEntry(id);
  if (entry == nullptr || jobs::IsFinal(entry->state)) {
    Log(LogLevel::kError, "dispatch", "record_dropped", {{"job", id}});
    if (entry != nullptr) stored_final_.push_back(id);
    return;
  }
  Log(LogLevel::kError, "dispatch", "job_unstorable",
      {{"job", id}, {"bytes", jobs::Encode(ProgressOf(*entry)).size()}});
  FinishJob(entry, jobs::JobState::kFailed, wall_ms);
  dirty_.emplace_front(generation, id);
  jobs_to_isolate_ += 1;
}

// The commit with `written_bounds_` is durable.
void Dispatcher::ReleaseLeaseBounds() {
  for (auto& [id, it] : workers_) {
    if (!it.lease_bounded || written_bounds_.left_ms.count(id) > 0) continue;
    it.lease_bounded = false;
    it.next_heartbeat = TimePoint{};
    CheckSoon(it);
    capacity_changed_ = true;
  }
}

void Dispatcher::OnCommitted(const Commit& commit, int64_t revision) {
  commit_in_flight_ = false;
  for (const auto& [generation, id] : jobs_in_commit_) {
    const JobEntry* entry = FindEntry(id);
    const bool newest = dirty_jobs_.count(id) == 0;
    if (newest && entry != nullptr && jobs::IsFinal(entry->state)) stored_final_.push_back(id);
  }
  jobs_in_commit_.clear();
  if (HasPoolState(commit)) pool_state_alone_ = false;
  for (const std::string& it : commit.removed_jobs) {
    // The placement refers to its jobs.
    if (IsInPlacement(FindEntry(it))) EndPlacement();
    jobs_.erase(it);
    if (revision != 0) removed_jobs_[it] = revision;
  }
  const Result<std::vector<WorkerInUse>> in_use =
      DecodeWorkersInUse(commit.workers_in_use.value_or(std::string()));
  if (commit.workers_in_use && in_use.ok()) {
    for (const WorkerInUse& it : in_use.value) {
      WorkerState* worker = FindWorker(it.id);
      if (worker != nullptr && worker->info.endpoint == it.endpoint) worker->recorded = true;
    }
    capacity_changed_ = true;
  }
  if (commit.lease_bounds) ReleaseLeaseBounds();
  for (auto& [id, it] : workers_) {
    if (it.processed == it.acknowledged || it.generation > commit.generation) continue;
    it.acknowledged = it.processed;
    it.next_heartbeat = TimePoint{};
    CheckSoon(it);
  }
}

}  // namespace pomelopond::dispatch
