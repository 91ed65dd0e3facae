// The part of PoolOwner that writes commits, and that verifies and maintains the ownership.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "entry/internal/pool_owner_timing.h"
#include "entry/keys.h"
#include "entry/pool_owner.h"

namespace pomelopond::entry {
namespace {

// Minimum time between two commits. Ends of runs that are reported within this time share a commit.
constexpr Duration kCommitBatchDelay = std::chrono::milliseconds(15);
constexpr Duration kOwnershipProofInterval = std::chrono::seconds(1);

}  // namespace

void PoolOwner::RenewOwnerLease() {
  store_->RenewLease(lease_,
                     BindToGeneration([this, lease = lease_](const Result<store::Lease>& result) {
                       After(options_.lease / kRenewalsPerLease, [this] { RenewOwnerLease(); });
                       // The answer may be about a lease that has been replaced since.
                       if (result.ec == ResultCode::kNotFound && lease == lease_) RestoreOwnerKey();
                     }));
}

// Called when the store has dropped the lease. As long as no other process has taken over, the
// stored term still names this process, so it writes kOwnerKey again under a new lease.
void PoolOwner::RestoreOwnerKey() {
  if (lease_restoring_) return;
  lease_restoring_ = true;
  Log(LogLevel::kInfo, "owner", "lease_lost", {{"epoch", term_.epoch}});
  GrantOwnerLease();
}

void PoolOwner::GrantOwnerLease() {
  store_->GrantLease(options_.lease, BindToGeneration([this](const Result<store::Lease>& lease) {
                       if (!lease.ok()) return After(kRetryDelay, [this] { GrantOwnerLease(); });
                       lease_ = lease.value.id;
                       WriteOwnerKey(0);
                     }));
}

// Writes kOwnerKey on the present lease. `revision` is the one of the key that is replaced; 0: it
// does not exist.
void PoolOwner::WriteOwnerKey(int64_t revision) {
  store::Transaction restore;
  restore.conditions = {{kOwnerKey, revision}};
  restore.writes = {{kOwnerKey, Encode(Self()), lease_}};
  store_->Commit(restore, kCommitTimeout,
                 BindToGeneration([this](const Result<store::CommitResult>& result) {
                   OnOwnerKeyWritten(result);
                 }));
}

void PoolOwner::OnOwnerKeyWritten(const Result<store::CommitResult>& result) {
  // The new lease has ended as well.
  if (result.ec == ResultCode::kNotFound) return GrantOwnerLease();
  if (!result.ok()) return After(kRetryDelay, [this] { WriteOwnerKey(0); });
  for (const store::Item& it : result.value.existing) {
    const bool own = it.revision != 0 && it.value == Encode(Self());
    // An earlier copy has taken effect, perhaps on a lease that is not renewed any more.
    if (it.key == kOwnerKey && own) return WriteOwnerKey(it.revision);
    // The key was removed between the two transactions.
    if (it.key == kOwnerKey && it.revision == 0) return WriteOwnerKey(0);
  }
  lease_restoring_ = false;
  // The key exists, written by this process or by another one. The next commit shows by which, so
  // it is due as soon as none is in flight.
  next_commit_ = TimePoint{};
}

void PoolOwner::WriteCommit() {
  const TimePoint now = Now();
  if (commit_in_flight_ || now < next_commit_) return;
  const bool again = commit_.has_value();
  if (!again) commit_ = dispatcher_->NextCommit(now, WallClockMs());
  // If there is no change to write, an empty commit proves that no other process has taken over.
  const bool proof_due = now - last_ownership_proof_ >= kOwnershipProofInterval ||
                         dispatcher_->AwaitsOwnershipProof(now);
  if (!commit_ && (proof_due || handing_over_)) commit_.emplace();
  if (!commit_) return;
  if (!again) term_.last_commit += 1;
  if (!again && handing_over_ && !handover_commit_) {
    handover_commit_ = term_.last_commit;
    // Only with a new commit: copies of one commit must carry the same term (ResolveConflict).
    term_.fastest_milli = std::max(term_.fastest_milli, requested_milli_);
  }
  commit_in_flight_ = true;
  store_->Commit(CommitOf(term_, term_revision_, *commit_), kCommitTimeout,
                 BindToGeneration([this, now, number = term_.last_commit](
                                      const Result<store::CommitResult>& result) {
                   OnCommitAnswer(result, number, now);
                 }));
}

void PoolOwner::VerifyTermForNewJobs() {
  const TimePoint now = Now();
  const int64_t revision = dispatcher_->UnprovenRevision();
  if (revision == 0 || now < next_term_read_) return;
  next_term_read_ = TimePoint::max();
  // The response reflects the store at a time after this call, when the store already contains the
  // revision of these jobs.
  store_->Get(kTermKey, BindToGeneration([this, revision](const Result<store::Item>& item) {
                OnTermRead(item, revision);
              }));
}

void PoolOwner::OnTermRead(const Result<store::Item>& item, int64_t revision) {
  next_term_read_ = Now() + kRetryDelay;
  if (!item.ok()) {
    Log(LogLevel::kWarn, "owner", "term_not_read", {{"error", item.ec.message()}});
    return;
  }
  const Result<Term> stored = DecodeTerm(item.value.value);
  if (!stored.ok()) return StepDown("the stored term cannot be decoded");
  if (ResolveConflict(term_, stored.value) == TermConflict::kReplaced) {
    return StepDown("another process took over");
  }
  next_term_read_ = TimePoint{};
  dispatcher_->OnProvenRevision(revision);
}

void PoolOwner::OnCommitAnswer(const Result<store::CommitResult>& result, int64_t number,
                               TimePoint began) {
  // An answer says nothing about another commit than the one that it was sent for.
  if (!commit_ || number != term_.last_commit) {
    Log(LogLevel::kError, "owner", "unexpected_commit_answer",
        {{"commit", number}, {"last_commit", term_.last_commit}});
    return;
  }
  commit_in_flight_ = false;
  next_commit_ = Now() + kRetryDelay;
  if (result.ec == ResultCode::kStoreRejected) return RejectCommit();
  if (!result.ok()) {
    metrics_->Count("commits_failed_total");
    Log(LogLevel::kWarn, "owner", "commit_failed",
        {{"commit", term_.last_commit}, {"error", result.ec.message()}});
    return;
  }
  if (result.value.committed) return FinishCommit(result.value.revision, began);
  for (const store::Item& it : result.value.existing) {
    if (it.key != kTermKey) continue;
    const Result<Term> stored = DecodeTerm(it.value);
    if (!stored.ok()) return StepDown("the stored term cannot be decoded");
    const TermConflict conflict = ResolveConflict(term_, stored.value);
    if (conflict == TermConflict::kReplaced) return StepDown("another process took over");
    if (conflict == TermConflict::kAlreadyApplied) return FinishCommit(it.revision, began);
    term_revision_ = it.revision;
    next_commit_ = TimePoint{};
    return;
  }
  StepDown("the stored term does not exist");
}

// The same commit would be rejected again for ever, and no other one could follow.
void PoolOwner::RejectCommit() {
  metrics_->Count("commits_rejected_total");
  dispatcher_->OnCommitRejected(*commit_, Now(), WallClockMs());
  commit_.reset();
  next_commit_ = Now() + kCommitBatchDelay;
}

void PoolOwner::FinishCommit(int64_t revision, TimePoint began) {
  term_revision_ = revision;
  next_commit_ = Now() + kCommitBatchDelay;
  metrics_->Count("commits_total");
  metrics_->Observe("commit_time", Now() - began);
  last_ownership_proof_ = began;
  dispatcher_->OnOwnershipProof(began);
  dispatcher_->OnProvenRevision(revision);
  dispatcher_->OnCommitted(*commit_, revision);
  commit_.reset();
  if (handover_commit_ && term_.last_commit >= *handover_commit_)
    StepDown("a much faster host asked");
}

}  // namespace pomelopond::entry
