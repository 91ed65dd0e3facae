#include "entry/pool_owner.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "entry/keys.h"

namespace pomelopond::entry {
namespace {

// Longest time between two decisions.
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kWatchWait = std::chrono::seconds(2);
constexpr Duration kRetryPause = std::chrono::milliseconds(100);
constexpr Duration kCommitTimeout = std::chrono::seconds(1);
// Ends that arrive within this time share a commit.
constexpr Duration kCommitPause = std::chrono::milliseconds(15);
// Candidates wait a random part of this, so that one of them is first; the previous owner, which
// knows the state, does not wait.
constexpr int kMinCompeteMs = 60;
constexpr int kMaxCompeteMs = 300;
constexpr int kRenewalsPerLease = 4;
constexpr Duration kProofInterval = std::chrono::seconds(1);
constexpr Duration kSummaryInterval = std::chrono::seconds(2);

Duration CompeteDelay() {
  static thread_local std::mt19937 random{std::random_device{}()};
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(kMinCompeteMs, kMaxCompeteMs)(random));
}

}  // namespace

PoolOwner::PoolOwner(OwnerOptions options, store::KeyStore* store, dispatch::WorkerCalls* workers,
                     Timer timer, metrics::Registry* metrics)
    : options_(std::move(options)),
      store_(store),
      calls_(workers),
      timer_(std::move(timer)),
      metrics_(metrics) {}

PoolOwner::~PoolOwner() { Stop(); }

template <class F>
std::function<void()> PoolOwner::InTerm(F work) {
  return [this, round = round_, work = std::move(work)]() mutable {
    loop_->Post([this, round, work = std::move(work)]() mutable {
      if (round == round_) work();
    });
  };
}

void PoolOwner::After(Duration delay, std::function<void()> work) {
  timer_(delay, InTerm(std::move(work)));
}

void PoolOwner::Start() {
  loop_ = std::make_unique<EventLoop>(kTick, [this] { Tick(); });
  FeedHandlers handlers;
  handlers.on_list = [this](const std::vector<store::Item>& items) {
    loop_->Post([this, exists = !items.empty()] { OnOwnerKey(exists); });
  };
  handlers.on_changes = [this](const std::vector<store::Change>& changes) {
    loop_->Post([this, exists = !changes.back().deleted] { OnOwnerKey(exists); });
  };
  owner_feed_ =
      std::make_shared<PrefixFeed>(store_, timer_, kOwnerKey, kWatchWait, std::move(handlers));
  owner_feed_->Start();
}

void PoolOwner::SetLimits(const dispatch::DispatchLimits& limits) {
  loop_->Post([this, limits] {
    options_.limits = limits;
    if (dispatcher_) dispatcher_->SetLimits(limits);
  });
}

void PoolOwner::Stop() {
  if (loop_ == nullptr || stopping_.exchange(true)) return;
  owner_feed_->Stop();
  loop_->Post([this] { StepDown("stopping"); });
  loop_->Stop();
}

void PoolOwner::OnOwnerKey(bool exists) {
  owner_exists_ = exists;
  if (exists || stopping_.load()) return;
  if (is_owner_.load()) return RestoreOwnerKey();
  if (competing_) return;
  competing_ = true;
  After(CompeteDelay(), [this] { Compete(); });
}

void PoolOwner::Compete() {
  if (stopping_.load() || is_owner_.load() || owner_exists_) {
    competing_ = false;
    return;
  }
  const TimePoint began = Now();
  store_->Get(kTermKey, [this, began, round = round_](const Result<store::Item>& item) {
    loop_->Post([this, began, round, item] {
      if (round != round_) return;
      const auto again = [this] { Compete(); };
      if (!item.ok()) return After(kRetryPause, again);
      Term current;
      if (item.value.revision != 0) {
        const Result<Term> read = DecodeTerm(item.value.value);
        if (!read.ok()) Log(LogLevel::kError, "owner", "bad_term");
        if (!read.ok()) return After(kRetryPause, again);
        current = read.value;
      }
      store_->GrantLease(options_.lease,
                         [this, began, round, current,
                          revision = item.value.revision](const Result<store::Lease>& lease) {
                           loop_->Post([this, began, round, current, revision, lease] {
                             if (round != round_) return;
                             if (!lease.ok()) return After(kRetryPause, [this] { Compete(); });
                             TakeOver(current, revision, lease.value.id, began);
                           });
                         });
    });
  });
}

void PoolOwner::TakeOver(const Term& current, int64_t revision, int64_t lease, TimePoint began) {
  const Term mine{current.epoch + 1, options_.process, 0};
  store_->Commit(
      entry::TakeOver(mine, revision, lease), kCommitTimeout,
      [this, mine, lease, began, round = round_](const Result<store::CommitResult>& result) {
        loop_->Post([this, mine, lease, began, round, result] {
          if (round != round_) return;
          if (result.ok() && result.value.committed) {
            return BecomeOwner(mine, result.value.revision, lease, began);
          }
          // After a lost answer the term itself tells who won.
          if (!result.ok() && result.ec != ResultCode::kStoreUnavailable) {
            return ResolveTakeOver(mine, lease, began);
          }
          store_->EndLease(lease, [](const Result<store::Lease>&) {});
          After(CompeteDelay(), [this] { Compete(); });
        });
      });
}

void PoolOwner::ResolveTakeOver(const Term& mine, int64_t lease, TimePoint began) {
  store_->Get(kTermKey, [this, mine, lease, began, round = round_](const Result<store::Item>& it) {
    loop_->Post([this, mine, lease, began, round, it] {
      if (round != round_) return;
      if (!it.ok()) {
        return After(kRetryPause,
                     [this, mine, lease, began] { ResolveTakeOver(mine, lease, began); });
      }
      const Result<Term> read = DecodeTerm(it.value.value);
      if (it.value.revision != 0 && read.ok() && read.value == mine) {
        return BecomeOwner(mine, it.value.revision, lease, began);
      }
      After(CompeteDelay(), [this] { Compete(); });
    });
  });
}

void PoolOwner::BecomeOwner(const Term& mine, int64_t revision, int64_t lease, TimePoint began) {
  competing_ = false;
  round_ += 1;
  owner_exists_ = true;
  term_ = mine;
  term_revision_ = revision;
  lease_ = lease;
  lease_restoring_ = false;
  // A commit of an earlier term may still be open; its answer is not waited for.
  commit_.reset();
  next_commit_ = TimePoint{};
  owner_since_ = Now();
  is_owner_.store(true);
  metrics_->Count("takeovers_total");
  Log(LogLevel::kInfo, "owner", "took_over", {{"epoch", mine.epoch}});
  dispatcher_.emplace(options_.limits, mine.epoch, owner_since_);
  dispatcher_->OnOwnershipProof(began);
  dispatcher_->OnProvenRevision(revision);
  next_term_read_ = TimePoint{};
  proof_ = began;
  jobs_loaded_ = false;
  progress_.clear();
  After(options_.lease / kRenewalsPerLease, [this] { Renew(); });
  Load();
}

void PoolOwner::StepDown(const char* reason) {
  if (!is_owner_.load()) return;
  Log(LogLevel::kInfo, "owner", "stepped_down", {{"epoch", term_.epoch}, {"reason", reason}});
  is_owner_.store(false);
  round_ += 1;
  competing_ = false;
  // Otherwise the key would stand until the lease runs out, and nobody could take over.
  store_->EndLease(lease_, [](const Result<store::Lease>&) {});
  if (job_feed_) job_feed_->Stop();
  if (worker_feed_) worker_feed_->Stop();
  dispatcher_.reset();
  commit_.reset();
  progress_.clear();
}

void PoolOwner::Load() {
  store_->Get(kWorkersKey, [this, round = round_](const Result<store::Item>& item) {
    loop_->Post([this, round, item] {
      if (round != round_) return;
      if (!item.ok()) return After(kRetryPause, [this] { Load(); });
      const auto workers = dispatch::DecodeWorkersInUse(item.value.value);
      if (item.value.revision != 0 && !workers.ok()) {
        Log(LogLevel::kError, "owner", "bad_worker_list");
      }
      for (const dispatch::WorkerInUse& it : workers.value) {
        dispatcher_->InheritWorker(it, owner_since_);
      }
      LoadProgress({});
    });
  });
}

void PoolOwner::LoadProgress(const std::string& after) {
  store_->List(kProgressPrefix, after,
               [this, after, round = round_](const Result<store::Page>& page) {
                 loop_->Post([this, after, round, page] {
                   if (round != round_) return;
                   if (!page.ok())
                     return After(kRetryPause, [this, after] { LoadProgress(after); });
                   const size_t skip = std::string(kProgressPrefix).size();
                   for (const store::Item& it : page.value.items) {
                     const Result<jobs::JobProgress> read = jobs::DecodeProgress(it.value);
                     if (!read.ok())
                       Log(LogLevel::kError, "owner", "bad_progress", {{"key", it.key}});
                     if (read.ok()) progress_[it.key.substr(skip)] = read.value;
                   }
                   if (page.value.has_more && !page.value.items.empty()) {
                     return LoadProgress(page.value.items.back().key);
                   }
                   StartFeeds();
                 });
               });
}

void PoolOwner::StartFeeds() {
  FeedHandlers jobs;
  jobs.on_list = [this, round = round_](const std::vector<store::Item>& items) {
    loop_->Post([this, round, items] {
      if (round != round_) return;
      TakeItems(items, !jobs_loaded_);
      jobs_loaded_ = true;
    });
  };
  jobs.on_changes = [this, round = round_](const std::vector<store::Change>& changes) {
    std::vector<store::Item> items;
    for (const store::Change& it : changes) {
      if (!it.deleted) items.push_back(it.item);
    }
    loop_->Post([this, round, items = std::move(items)] {
      if (round == round_) TakeItems(items, false);
    });
  };
  FeedHandlers workers;
  workers.on_list = [this, round = round_](const std::vector<store::Item>& items) {
    loop_->Post([this, round, items] {
      if (round == round_) TakeWorkers(items);
    });
  };
  workers.on_changes = [this, round = round_](const std::vector<store::Change>& changes) {
    loop_->Post([this, round, changes] {
      if (round != round_) return;
      for (const store::Change& it : changes) {
        if (it.deleted) {
          dispatcher_->UnlistWorker(WorkerIdOf(it.item.key), Now());
        } else {
          TakeWorker(it.item);
        }
      }
    });
  };
  job_feed_ = std::make_shared<PrefixFeed>(store_, timer_, kJobPrefix, kWatchWait, std::move(jobs));
  worker_feed_ = std::make_shared<PrefixFeed>(store_, timer_, options_.worker_prefix, kWatchWait,
                                              std::move(workers));
  job_feed_->Start();
  worker_feed_->Start();
}

void PoolOwner::TakeItems(const std::vector<store::Item>& items, bool inherited) {
  const TimePoint now = Now();
  const int64_t wall_ms = WallClockMs();
  const std::string suffix = kCancelSuffix;
  std::vector<std::string> cancelled;
  for (const store::Item& it : items) {
    const std::string id = it.key.substr(std::string(kJobPrefix).size());
    const bool cancel = id.size() > suffix.size() &&
                        id.compare(id.size() - suffix.size(), suffix.size(), suffix) == 0;
    if (cancel) {
      cancelled.push_back(id.substr(0, id.size() - suffix.size()));
      continue;
    }
    const Result<jobs::Job> job = jobs::DecodeJob(it.value);
    if (!job.ok()) {
      Log(LogLevel::kError, "owner", "bad_job", {{"key", it.key}});
      continue;
    }
    const auto progress = progress_.find(id);
    dispatcher_->AddJob(job.value,
                        progress == progress_.end() ? jobs::JobProgress{} : progress->second,
                        inherited, now, it.revision);
  }
  for (const std::string& it : cancelled) dispatcher_->CancelJob(it, wall_ms);
}

std::string PoolOwner::WorkerIdOf(const std::string& key) const {
  return key.substr(std::min(key.size(), options_.worker_prefix.size()));
}

void PoolOwner::TakeWorker(const store::Item& item) {
  const Result<dispatch::WorkerInfo> worker = options_.read_worker(item);
  if (worker.ok()) return dispatcher_->UpdateWorker(worker.value, Now());
  Log(LogLevel::kWarn, "owner", "bad_worker_entry",
      {{"key", item.key}, {"error", worker.ec.message()}});
  dispatcher_->UnlistWorker(WorkerIdOf(item.key), Now());
}

void PoolOwner::TakeWorkers(const std::vector<store::Item>& items) {
  std::set<std::string> listed;
  for (const store::Item& it : items) {
    listed.insert(WorkerIdOf(it.key));
    TakeWorker(it);
  }
  for (const std::string& it : dispatcher_->ListedWorkers()) {
    if (listed.count(it) == 0) dispatcher_->UnlistWorker(it, Now());
  }
}

void PoolOwner::Renew() {
  store_->RenewLease(lease_, [this, round = round_](const Result<store::Lease>& result) {
    loop_->Post([this, round, result] {
      if (round != round_) return;
      After(options_.lease / kRenewalsPerLease, [this] { Renew(); });
      if (result.ec == ResultCode::kNotFound) RestoreOwnerKey();
    });
  });
}

// The store has dropped the lease, but nobody else has taken over: the term is still ours.
void PoolOwner::RestoreOwnerKey() {
  if (lease_restoring_) return;
  lease_restoring_ = true;
  Log(LogLevel::kInfo, "owner", "lease_lost", {{"epoch", term_.epoch}});
  store_->GrantLease(options_.lease, [this, round = round_](const Result<store::Lease>& lease) {
    loop_->Post([this, round, lease] {
      if (round != round_) return;
      lease_restoring_ = false;
      if (!lease.ok()) return After(kRetryPause, [this] { RestoreOwnerKey(); });
      lease_ = lease.value.id;
      store::Transaction restore;
      restore.conditions = {{kOwnerKey, 0}};
      restore.writes = {{kOwnerKey, options_.process, lease_}};
      store_->Commit(restore, kCommitTimeout,
                     [this, round](const Result<store::CommitResult>& result) {
                       loop_->Post([this, round, result] {
                         if (round != round_) return;
                         if (!result.ok()) return After(kRetryPause, [this] { RestoreOwnerKey(); });
                         // The key exists: ours, or that of another process. The next commit tells.
                         next_commit_ = TimePoint{};
                       });
                     });
    });
  });
}

void PoolOwner::Tick() {
  if (!is_owner_.load()) return;
  const TimePoint now = Now();
  if (!jobs_loaded_) {
    if (now > owner_since_ + options_.load_limit) StepDown("the state cannot be loaded");
    return;
  }
  Send(dispatcher_->Decide(now, WallClockMs()));
  if (dispatcher_->replaced()) return StepDown("a worker follows a later owner");
  WriteCommit();
  ProveNewJobs();
  if (now >= next_summary_) LogSummary(now);
}

void PoolOwner::LogSummary(TimePoint now) {
  next_summary_ = now + kSummaryInterval;
  const dispatch::PoolSummary it = dispatcher_->Summary(now);
  Log(LogLevel::kInfo, "owner", "pool",
      {{"epoch", term_.epoch},
       {"jobs", it.jobs},
       {"waiting_tasks", it.waiting_tasks},
       {"runs", it.runs},
       {"workers", it.workers},
       {"silent", it.silent_workers},
       {"serving", it.serving_workers},
       {"reserved_cpu", it.reserved_cpu},
       {"fill_cpu", it.fill_cpu},
       {"fill_used_cpu", it.fill_used_cpu},
       {"paced", it.paced_runs},
       {"strained", it.strained_workers},
       {"free_cpu", it.free_cpu}});
}

void PoolOwner::Send(const dispatch::Orders& orders) {
  for (const dispatch::StartOrder& it : orders.starts) {
    metrics_->Count("starts_total");
    Log(LogLevel::kDebug, "owner", "start",
        {{"job", it.run.task.job},
         {"step", it.run.task.step},
         {"index", it.run.task.index},
         {"run", it.run.run},
         {"worker", it.to.worker}});
    calls_->Start(it, [this, it, round = round_](const dispatch::Answer& answer) {
      loop_->Post([this, it, round, answer] {
        if (round == round_) dispatcher_->OnStarted(it, answer, Now());
      });
    });
  }
  for (const dispatch::StopOrder& it : orders.stops) {
    metrics_->Count("stops_total");
    calls_->Stop(it, [this, it, round = round_](const dispatch::Answer& answer) {
      loop_->Post([this, it, round, answer] {
        if (round == round_) dispatcher_->OnStopped(it, answer, Now());
      });
    });
  }
  for (const dispatch::PaceOrder& it : orders.paces) {
    metrics_->Count("paces_total");
    calls_->Pace(it, [this, it, round = round_](const dispatch::Answer& answer) {
      loop_->Post([this, it, round, answer] {
        if (round == round_) dispatcher_->OnPaced(it, answer, Now());
      });
    });
  }
  for (const dispatch::PermitOrder& it : orders.permits) SendPermitOrder(it);
  for (const dispatch::HoldOrder& it : orders.holds) {
    calls_->Hold(it, [this, it, round = round_](const dispatch::Report& report) {
      loop_->Post([this, it, round, report] {
        if (round == round_) dispatcher_->OnReport(it, report, Now(), WallClockMs());
      });
    });
  }
}

void PoolOwner::SendPermitOrder(const dispatch::PermitOrder& order) {
  const auto take = [this, order, round = round_](const dispatch::PermitAnswer& answer) {
    loop_->Post([this, order, round, answer] {
      if (round == round_) dispatcher_->OnPermits(order, answer, Now());
    });
  };
  if (options_.permits != nullptr) return options_.permits->Ask(order, take);
  Log(LogLevel::kError, "owner", "no_policy_service", {{"job", order.step.job}});
  take({});
}

void PoolOwner::WriteCommit() {
  const TimePoint now = Now();
  if (now < next_commit_) return;
  const bool again = commit_.has_value();
  if (!again) commit_ = dispatcher_->NextCommit(now, WallClockMs());
  // Without a change, an empty commit proves that no other process has taken over.
  if (!commit_ && now - proof_ >= kProofInterval) commit_.emplace();
  if (!commit_) return;
  if (!again) term_.last_commit += 1;
  // Until the answer arrives no other commit begins.
  next_commit_ = TimePoint::max();
  store_->Commit(CommitOf(term_, term_revision_, *commit_), kCommitTimeout,
                 [this, now, round = round_](const Result<store::CommitResult>& result) {
                   loop_->Post([this, now, round, result] {
                     if (round == round_) OnCommitAnswer(result, now);
                   });
                 });
}

void PoolOwner::ProveNewJobs() {
  const TimePoint now = Now();
  const int64_t revision = dispatcher_->UnprovenRevision();
  if (revision == 0 || now < next_term_read_) return;
  next_term_read_ = TimePoint::max();
  // The answer is of a time after this one, at which the store has the jobs' revision.
  store_->Get(kTermKey, [this, revision, round = round_](const Result<store::Item>& item) {
    loop_->Post([this, revision, round, item] {
      if (round == round_) OnTermRead(item, revision);
    });
  });
}

void PoolOwner::OnTermRead(const Result<store::Item>& item, int64_t revision) {
  next_term_read_ = Now() + kRetryPause;
  if (!item.ok()) {
    Log(LogLevel::kWarn, "owner", "term_not_read", {{"error", item.ec.message()}});
    return;
  }
  const Result<Term> stored = DecodeTerm(item.value.value);
  if (!stored.ok()) return StepDown("the term cannot be read");
  const bool owns = stored.value.epoch == term_.epoch && stored.value.owner == term_.owner;
  if (!owns) return StepDown("another process took over");
  next_term_read_ = TimePoint{};
  dispatcher_->OnProvenRevision(revision);
}

void PoolOwner::OnCommitAnswer(const Result<store::CommitResult>& result, TimePoint began) {
  next_commit_ = Now() + kRetryPause;
  if (!result.ok()) {
    metrics_->Count("commits_failed_total");
    Log(LogLevel::kWarn, "owner", "commit_failed",
        {{"commit", term_.last_commit}, {"error", result.ec.message()}});
    return;
  }
  if (result.value.committed) return CommitDone(result.value.revision, began);
  for (const store::Item& it : result.value.existing) {
    if (it.key != kTermKey) continue;
    const Result<Term> stored = DecodeTerm(it.value);
    if (!stored.ok()) return StepDown("the term cannot be read");
    const Conflict conflict = Resolve(term_, stored.value);
    if (conflict == Conflict::kReplaced) return StepDown("another process took over");
    if (conflict == Conflict::kTookEffect) return CommitDone(it.revision, began);
    term_revision_ = it.revision;
    next_commit_ = TimePoint{};
    return;
  }
  StepDown("the term is gone");
}

void PoolOwner::CommitDone(int64_t revision, TimePoint began) {
  term_revision_ = revision;
  next_commit_ = Now() + kCommitPause;
  metrics_->Count("commits_total");
  metrics_->Observe("commit_time", Now() - began);
  proof_ = began;
  dispatcher_->OnOwnershipProof(began);
  dispatcher_->OnProvenRevision(revision);
  dispatcher_->OnCommitted(*commit_);
  commit_.reset();
}

}  // namespace pomelopond::entry
