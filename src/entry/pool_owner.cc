#include "entry/pool_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "dispatch/job_memory.h"
#include "entry/campaign_delay.h"
#include "entry/internal/pool_owner_timing.h"
#include "entry/keys.h"
#include "entry/pool_log.h"

namespace pomelopond::entry {
namespace {

// Maximum time between two decisions of the dispatcher.
constexpr Duration kMaxDecisionInterval = std::chrono::milliseconds(50);
// Answers that arrive within this time of a decision share the next one. It is short beside the
// time that an order takes.
constexpr Duration kMinDecisionInterval = std::chrono::milliseconds(5);
// A host that could not load the state leaves the pool to slower ones for this time.
constexpr Duration kRequestRest = std::chrono::seconds(30);
constexpr Duration kSummaryInterval = std::chrono::seconds(2);
// While the store answers, the evacuations are confirmed each 0.7 s. If they are not for this time,
// their watch is broken. An evacuation must be in force within 5 s.
constexpr Duration kMaxEvacuationAge = std::chrono::seconds(3);

// True when tasks might start in a failure domain whose evacuation this host has missed: the store
// has answered other calls of this host since it last confirmed the evacuations.
bool MissesEvacuations(const CatalogView& view, TimePoint store_answered_at) {
  return view.evacuated == nullptr || store_answered_at > view.confirmed_at + kMaxEvacuationAge;
}

std::map<std::string, double> ColdStartRates(const jobs::Catalog& catalog) {
  std::map<std::string, double> out;
  for (const jobs::Service& it : catalog.services) {
    if (it.cold_starts_per_s > 0) out[it.name] = it.cold_starts_per_s;
  }
  return out;
}

}  // namespace

PoolOwner::PoolOwner(OwnerOptions options, store::KeyStore* store, dispatch::WorkerCalls* workers,
                     Timer timer, metrics::Registry* metrics)
    : options_(std::move(options)),
      store_(store),
      worker_calls_(workers),
      timer_(std::move(timer)),
      metrics_(metrics) {
  turn_times_.slow = options_.lease / kRenewalsPerLease;
  ApplyLimits();
}

PoolOwner::~PoolOwner() { Stop(); }

void PoolOwner::After(Duration delay, std::function<void()> work) {
  timer_(delay, BindToGeneration(std::move(work)));
}

void PoolOwner::Start() {
  const EventLoopTimes times{kMaxDecisionInterval, kMinDecisionInterval};
  loop_ = std::make_unique<EventLoop>(times, [this] { Tick(); });
  WatchHandlers handlers;
  handlers.on_list = [this](const std::vector<store::Item>& items) {
    loop_->Post([this, items] { OnOwnerKeys(items); });
  };
  handlers.on_changes = [this](const std::vector<store::Change>& changes) {
    loop_->Post([this, changes] { OnOwnerChanges(changes); });
  };
  owner_key_watcher_ =
      std::make_shared<PrefixWatcher>(store_, timer_, kOwnerKey, kWatchWait, std::move(handlers));
  owner_key_watcher_->Start();
}

void PoolOwner::SetLimits(const dispatch::DispatchLimits& limits) {
  loop_->Post([this, limits] {
    options_.limits = limits;
    ApplyLimits();
  });
}

void PoolOwner::ApplyLimits() {
  int64_t memory = options_.memory_bytes;
  if (smallest_memory_ > 0 && memory > 0) memory = std::min(memory, smallest_memory_);
  options_.limits.job_memory_bytes = dispatch::JobMemoryOf(memory);
  job_memory_bytes_.store(options_.limits.job_memory_bytes);
  if (dispatcher_) dispatcher_->SetLimits(options_.limits);
}

void PoolOwner::Stop() {
  if (loop_ == nullptr || stopping_.exchange(true)) return;
  owner_key_watcher_->Stop();
  loop_->Post([this] { StepDown("stopping"); });
  loop_->Stop();
}

void PoolOwner::OnOwnerKey(const std::optional<store::Item>& item) {
  owner_exists_ = item.has_value();
  if (stopping_.load()) return;
  if (item) return RequestOwnershipLater(DecodeCandidate(item->value).value);
  if (is_owner_.load()) return RestoreOwnerKey();
  if (campaigning_) return;
  campaigning_ = true;
  has_yielded_ = false;
  CampaignLater();
}

void PoolOwner::CampaignLater() {
  After(CampaignDelay(RandomDraw()), [this] { Campaign(); });
}

bool PoolOwner::YieldToFaster(const Term& current) {
  if (has_yielded_) return false;
  has_yielded_ = true;
  const Duration wait = current.epoch == 0
                            ? FirstYieldTime(options_.processor_milli)
                            : YieldTime(options_.processor_milli, current.fastest_milli);
  if (wait == Duration::zero()) return false;
  After(wait, [this] { Campaign(); });
  return true;
}

void PoolOwner::Campaign() {
  if (stopping_.load() || is_owner_.load() || owner_exists_) {
    campaigning_ = false;
    return;
  }
  const TimePoint began = Now();
  store_->Get(kTermKey, BindToGeneration([this, began](const Result<store::Item>& item) {
                const auto again = [this] { Campaign(); };
                if (!item.ok()) return After(kRetryDelay, again);
                Term current;
                if (item.value.revision != 0) {
                  const Result<Term> read = DecodeTerm(item.value.value);
                  if (!read.ok()) Log(LogLevel::kError, "owner", "bad_term");
                  if (!read.ok()) return After(kRetryDelay, again);
                  current = read.value;
                }
                if (YieldToFaster(current)) return;
                store_->GrantLease(
                    options_.lease,
                    BindToGeneration([this, began, current, revision = item.value.revision](
                                         const Result<store::Lease>& lease) {
                      if (!lease.ok()) return After(kRetryDelay, [this] { Campaign(); });
                      TakeOver(current, revision, lease.value.id, began);
                    }));
              }));
}

void PoolOwner::TakeOver(const Term& current, int64_t revision, int64_t lease, TimePoint began) {
  const Term mine{current.epoch + 1, options_.process, 0,
                  std::max(current.fastest_milli, options_.processor_milli)};
  store_->Commit(
      entry::TakeOver(Self(), mine, revision, lease), kCommitTimeout,
      BindToGeneration([this, mine, lease, began](const Result<store::CommitResult>& result) {
        if (result.ok() && result.value.committed) {
          return BecomeOwner(mine, result.value.revision, lease, began);
        }
        // The response to the commit was lost. The stored term shows which candidate won.
        if (!result.ok() && result.ec != ResultCode::kStoreUnavailable) {
          return ResolveTakeOver(mine, lease, began);
        }
        store_->EndLease(lease, [](const Result<store::Lease>&) {});
        CampaignLater();
      }));
}

void PoolOwner::ResolveTakeOver(const Term& mine, int64_t lease, TimePoint began) {
  store_->Get(kTermKey, BindToGeneration([this, mine, lease, began](const Result<store::Item>& it) {
                if (!it.ok()) {
                  return After(kRetryDelay,
                               [this, mine, lease, began] { ResolveTakeOver(mine, lease, began); });
                }
                const Result<Term> read = DecodeTerm(it.value.value);
                if (it.value.revision != 0 && read.ok() && read.value == mine) {
                  return BecomeOwner(mine, it.value.revision, lease, began);
                }
                CampaignLater();
              }));
}

void PoolOwner::BecomeOwner(const Term& mine, int64_t revision, int64_t lease, TimePoint began) {
  campaigning_ = false;
  generation_ += 1;
  owner_exists_ = true;
  term_ = mine;
  term_revision_ = revision;
  lease_ = lease;
  lease_restoring_ = false;
  requesting_ = false;
  handing_over_ = false;
  handover_commit_.reset();
  // A commit of an earlier term may still be in progress. This process does not wait for its
  // response.
  commit_.reset();
  commit_in_flight_ = false;
  next_commit_ = TimePoint{};
  owner_since_ = Now();
  is_owner_.store(true);
  metrics_->Count("takeovers_total");
  Log(LogLevel::kInfo, "owner", "took_over",
      {{"epoch", mine.epoch},
       {"processor_milli", options_.processor_milli},
       {"fastest_milli", mine.fastest_milli},
       {"link_mbps", std::llround(options_.link_mbps)}});
  dispatcher_.emplace(options_.limits, mine.epoch, owner_since_);
  dispatcher_->OnOwnershipProof(began);
  dispatcher_->OnProvenRevision(revision);
  next_term_read_ = TimePoint{};
  last_ownership_proof_ = began;
  jobs_loaded_ = false;
  last_load_step_ = owner_since_;
  DropQueues();
  applied_catalog_.reset();
  starts_held_ = false;
  After(options_.lease / kRenewalsPerLease, [this] { RenewOwnerLease(); });
  Load();
}

void PoolOwner::StepDown(const char* reason) {
  if (!is_owner_.load()) return;
  Log(LogLevel::kInfo, "owner", "stepped_down", {{"epoch", term_.epoch}, {"reason", reason}});
  is_owner_.store(false);
  generation_ += 1;
  campaigning_ = false;
  requesting_ = false;
  // Ending the lease removes kOwnerKey. Otherwise the key would exist until the lease expires, and
  // no other process could take over.
  store_->EndLease(lease_, [](const Result<store::Lease>&) {});
  if (job_watcher_) job_watcher_->Stop();
  if (worker_watcher_) worker_watcher_->Stop();
  worker_calls_->Disconnect();
  dispatcher_.reset();
  commit_.reset();
  DropQueues();
  // The watcher may have told of the next owner before this process stepped down.
  if (owner_exists_ && !stopping_.load()) RequestOwnershipLater(owner_);
}

void PoolOwner::DropQueues() {
  progress_.clear();
  job_updates_.clear();
  applying_jobs_ = false;
  unsent_starts_.clear();
  unsent_stops_.clear();
}

void PoolOwner::Tick() {
  if (!is_owner_.load()) return;
  const TimePoint now = Now();
  if (!jobs_loaded_) {
    // Another host would have as much to load.
    if (now <= last_load_step_ + options_.load_timeout) return;
    no_request_before_ = now + kRequestRest;
    return StepDown("loading the state timed out");
  }
  ApplyCatalog(now);
  dispatch::Orders orders;
  Measure(&turn_times_, OwnerWork::kDecide,
          [&] { orders = dispatcher_->Decide(now, WallClockMs()); });
  Measure(&turn_times_, OwnerWork::kSend, [&] { Send(orders); });
  if (dispatcher_->HasPausedPlacement()) loop_->Post([] {});
  if (dispatcher_->superseded()) return StepDown("a worker reported a later epoch");
  Measure(&turn_times_, OwnerWork::kCommit, [&] { WriteCommit(); });
  VerifyTermForNewJobs();
  if (now < next_summary_) return;
  Measure(&turn_times_, OwnerWork::kSummary, [&] { LogSummary(now); });
  ReportPieces(&turn_times_, metrics_);
}

void PoolOwner::ApplyCatalog(TimePoint now) {
  if (!options_.catalog) return;
  const CatalogView view = options_.catalog();
  const bool hold = MissesEvacuations(view, last_ownership_proof_);
  if (hold != starts_held_) {
    Log(hold ? LogLevel::kWarn : LogLevel::kInfo, "owner", hold ? "starts_held" : "starts_released",
        {{"evacuations_known", view.evacuated != nullptr},
         {"age_ms", Milliseconds(now - view.confirmed_at)}});
  }
  starts_held_ = hold;
  dispatcher_->HoldStarts(hold);
  if (view.evacuated != nullptr) dispatcher_->SetEvacuatedDomains(*view.evacuated, now);
  if (view.catalog == applied_catalog_) return;
  applied_catalog_ = view.catalog;
  dispatcher_->SetColdStartRates(ColdStartRates(*view.catalog));
}

void PoolOwner::SetQueueWaits(const dispatch::PoolSummary& summary) {
  for (const auto& [queue, it] : summary.forecasts) waiting_queues_.insert(queue);
  for (const auto& [queue, it] : summary.queues) waiting_queues_.insert(queue);
  for (const std::string& queue : waiting_queues_) {
    const auto jobs = summary.queues.find(queue);
    metrics_->Set(metrics::Labelled("queue_late_jobs", "queue", queue),
                  jobs == summary.queues.end() ? 0 : jobs->second.late + jobs->second.too_late);
    const auto it = summary.forecasts.find(queue);
    metrics_->Set(metrics::Labelled("queue_wait_ms", "queue", queue),
                  it == summary.forecasts.end() ? 0 : it->second.wait_ms);
  }
}

void PoolOwner::LogSummary(TimePoint now) {
  next_summary_ = now + kSummaryInterval;
  const int64_t wall_ms = WallClockMs();
  const dispatch::PoolSummary summary = dispatcher_->Summary(now, wall_ms);
  LogPool(summary, term_.epoch);
  LogEvacuation(summary);
  metrics_->Set("evacuated_domains", summary.evacuated_domains);
  LogSlowWorkers(summary);
  LogQueues(summary);
  SetQueueWaits(summary);
  metrics_->Set("evacuated_workers", summary.evacuated_workers);
  metrics_->Set("evacuated_runs", summary.evacuated_runs.Total());
  const dispatch::RescueCounts& rescues = summary.rescues;
  metrics_->Set("slow_workers", summary.slow_workers);
  metrics_->Set("slow_worker_verdicts", rescues.slow_verdicts);
  metrics_->Set("rescued_runs", rescues.resumed + rescues.restarted + rescues.moved);
  metrics_->Set("copies_started", rescues.copies);
  metrics_->Set("copies_first", rescues.copies_first);
  metrics_->Set("discarded_core_ms", rescues.discarded_core_ms);
  metrics_->Set("starts_held", starts_held_ ? 1 : 0);
  for (const dispatch::JobWait& it : dispatcher_->ExplainWaits(now, wall_ms)) LogWait(it);
  for (const dispatch::TaskAway& it : dispatcher_->ExplainTasksAway(now)) LogTaskAway(it);
}

}  // namespace pomelopond::entry
