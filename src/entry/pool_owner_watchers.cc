// The part of PoolOwner that loads the state of the pool and watches jobs and workers.
#include <algorithm>
#include <set>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "entry/internal/pool_owner_timing.h"
#include "entry/keys.h"
#include "entry/pool_owner.h"

namespace pomelopond::entry {
namespace {

// Maximum wait of one watch of the jobs. Each answer renews the revision up to which all jobs are
// known, on which the age of the waiting counts depends.
constexpr Duration kJobsWatchWait = std::chrono::milliseconds(500);
// Bytes of records that one turn of the event loop decodes, and one record more at most. It takes a
// host with a tenth of a core some 0.2 s, a tenth of the time for which the ownership lasts.
constexpr size_t kJobBytesPerTurn = 65536;

}  // namespace

void PoolOwner::Load() {
  store_->Get(kWorkersKey, BindToGeneration([this](const Result<store::Item>& item) {
                if (!item.ok()) return After(kRetryDelay, [this] { Load(); });
                const auto workers = dispatch::DecodeWorkersInUse(item.value.value);
                if (item.value.revision != 0 && !workers.ok()) {
                  Log(LogLevel::kError, "owner", "bad_worker_list");
                }
                LoadLeaseBounds(workers.value);
              }));
}

void PoolOwner::LoadLeaseBounds(const std::vector<dispatch::WorkerInUse>& workers) {
  store_->Get(kLeaseBoundsKey, BindToGeneration([this, workers](const Result<store::Item>& item) {
                if (!item.ok())
                  return After(kRetryDelay, [this, workers] { LoadLeaseBounds(workers); });
                const auto bounds = dispatch::DecodeLeaseBounds(item.value.value);
                // Without bounds the owner waits for the longest lease that may have been granted.
                if (item.value.revision != 0 && !bounds.ok()) {
                  Log(LogLevel::kError, "owner", "bad_lease_bounds");
                }
                for (const dispatch::WorkerInUse& it : workers) {
                  dispatcher_->InheritWorker(it, bounds.value, owner_since_);
                }
                LoadProgress({});
              }));
}

void PoolOwner::LoadProgress(const std::string& after) {
  store_->List(kProgressPrefix, after,
               BindToGeneration([this, after](const Result<store::Page>& page) {
                 if (!page.ok()) return After(kRetryDelay, [this, after] { LoadProgress(after); });
                 const size_t skip = std::string(kProgressPrefix).size();
                 for (const store::Item& it : page.value.items) {
                   progress_[it.key.substr(skip)] = it.value;
                 }
                 if (page.value.has_more && !page.value.items.empty()) {
                   return LoadProgress(page.value.items.back().key);
                 }
                 StartWatchers();
               }));
}

void PoolOwner::StartWatchers() {
  WatchHandlers jobs;
  jobs.on_list = BindToGeneration([this](const std::vector<store::Item>& items) {
    QueueJobItems(items, !jobs_loaded_);
    job_updates_.push_back({std::nullopt, false, true, 0});
    ApplyJobUpdates();
  });
  jobs.on_changes = BindToGeneration([this](const std::vector<store::Change>& changes) {
    std::vector<store::Item> items;
    for (const store::Change& it : changes) {
      if (!it.deleted) items.push_back(it.item);
    }
    QueueJobItems(std::move(items), false);
    ApplyJobUpdates();
  });
  jobs.on_current = BindToGeneration([this](TimePoint, int64_t revision) {
    job_updates_.push_back({std::nullopt, false, false, revision});
    ApplyJobUpdates();
  });
  WatchHandlers workers;
  workers.on_list =
      BindToGeneration([this](const std::vector<store::Item>& items) { ApplyWorkerList(items); });
  workers.on_changes = BindToGeneration([this](const std::vector<store::Change>& changes) {
    for (const store::Change& it : changes) {
      if (it.deleted) {
        dispatcher_->DeregisterWorker(WorkerIdOf(it.item.key), Now());
      } else {
        ApplyWorkerEntry(it.item);
      }
    }
  });
  job_watcher_ =
      std::make_shared<PrefixWatcher>(store_, timer_, kJobPrefix, kJobsWatchWait, std::move(jobs));
  worker_watcher_ = std::make_shared<PrefixWatcher>(store_, timer_, options_.worker_prefix,
                                                    kWatchWait, std::move(workers));
  job_watcher_->Start();
  worker_watcher_->Start();
}

void PoolOwner::QueueJobItems(std::vector<store::Item> items, bool inherited) {
  for (store::Item& it : items) job_updates_.push_back({std::move(it), inherited, false, 0});
}

void PoolOwner::ApplyJobUpdates() {
  // The turn that is queued goes on with all updates in their order.
  if (applying_jobs_) return;
  const TimePoint began = Now();
  size_t bytes = 0;
  while (!job_updates_.empty() && bytes < kJobBytesPerTurn) {
    const JobUpdate update = std::move(job_updates_.front());
    job_updates_.pop_front();
    jobs_loaded_ = jobs_loaded_ || update.ends_list;
    if (update.seen_revision > 0) dispatcher_->OnJobsSeen(update.seen_revision);
    if (!update.item) continue;
    if (ApplyJobItem(*update.item, update.inherited)) bytes += update.item->value.size();
  }
  last_load_step_ = Now();
  RecordPiece(&turn_times_, OwnerWork::kJobs, last_load_step_ - began);
  applying_jobs_ = !job_updates_.empty();
  if (!applying_jobs_) return;
  BindToGeneration([this] {
    applying_jobs_ = false;
    ApplyJobUpdates();
  })();
}

bool PoolOwner::ApplyJobItem(const store::Item& item, bool inherited) {
  const std::string id = item.key.substr(std::string(kJobPrefix).size());
  const std::string suffix = kCancelSuffix;
  const bool cancels = id.size() > suffix.size() &&
                       id.compare(id.size() - suffix.size(), suffix.size(), suffix) == 0;
  if (cancels) {
    dispatcher_->CancelJob(id.substr(0, id.size() - suffix.size()), WallClockMs());
    return false;
  }
  // A list names jobs that are known already, whose records never change.
  if (dispatcher_->FindJob(id) != nullptr) return false;
  const Result<jobs::Job> job = jobs::DecodeJob(item.value);
  if (job.ok()) dispatcher_->AddJob(job.value, TakeProgress(id), inherited, item.revision);
  if (!job.ok()) Log(LogLevel::kError, "owner", "bad_job", {{"key", item.key}});
  return true;
}

jobs::JobProgress PoolOwner::TakeProgress(const std::string& job) {
  const auto it = progress_.find(job);
  if (it == progress_.end()) return {};
  const Result<jobs::JobProgress> read = jobs::DecodeProgress(it->second);
  if (!read.ok()) Log(LogLevel::kError, "owner", "bad_progress", {{"job", job}});
  progress_.erase(it);
  return read.value;
}

std::string PoolOwner::WorkerIdOf(const std::string& key) const {
  return key.substr(std::min(key.size(), options_.worker_prefix.size()));
}

void PoolOwner::ApplyWorkerEntry(const store::Item& item) {
  const Result<dispatch::WorkerInfo> worker = options_.read_worker(item);
  if (worker.ok()) return dispatcher_->UpdateWorker(worker.value, Now());
  Log(LogLevel::kWarn, "owner", "bad_worker_entry",
      {{"key", item.key}, {"error", worker.ec.message()}});
  dispatcher_->DeregisterWorker(WorkerIdOf(item.key), Now());
}

void PoolOwner::ApplyWorkerList(const std::vector<store::Item>& items) {
  std::set<std::string> listed;
  for (const store::Item& it : items) {
    listed.insert(WorkerIdOf(it.key));
    ApplyWorkerEntry(it);
  }
  for (const std::string& it : dispatcher_->RegisteredWorkers()) {
    if (listed.count(it) == 0) dispatcher_->DeregisterWorker(it, Now());
  }
}

}  // namespace pomelopond::entry
