// The store of a simulated fleet: commits, the term, and outages.
#include <algorithm>
#include <memory>

#include "tests/dispatch/simulated_fleet.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCommitRetry = milliseconds(200);
constexpr Duration kCommitBatchDelay = milliseconds(15);
constexpr Duration kOwnershipProofInterval = seconds(1);
// Longest delay of a commit that is carried out after its sender gave up on it.
constexpr int64_t kLatestCommitMs = 4000;

}  // namespace

// Commits.

void SimulatedFleet::WriteCommit(SimulatedOwner* owner) {
  if (owner->commit_in_flight || now_ < owner->next_commit) return;
  const bool again = owner->commit.has_value();
  if (!again) owner->commit = owner->dispatcher.NextCommit(now_, WallMs());
  const bool proof_due = now_ - owner->last_proof >= kOwnershipProofInterval ||
                         owner->dispatcher.AwaitsOwnershipProof(now_);
  if (!owner->commit && proof_due) owner->commit.emplace();
  if (!owner->commit) return;
  if (!again) owner->last_commit += 1;
  owner->commit_in_flight = true;
  const CommitCall call{owner->epoch, owner->last_commit, owner->term_revision, now_,
                        std::make_shared<const Commit>(*owner->commit)};
  if (IsStoreDown()) return AnswerCommit(call, MsBetween(2, 10), CommitOutcome::kUnknown);
  if (troubles_.late_commit > 0 && Chance(troubles_.late_commit)) {
    AnswerCommit(call, kCallTimeout, CommitOutcome::kUnknown);
    if (!IsStorable(*call.commit)) return;
    At(now_ + MsBetween(20, kLatestCommitMs), [this, call] {
      if (!IsStoreDown()) CarryOut(call);
    });
    return;
  }
  const bool lost = Chance(troubles_.lost_commit);
  const bool lands = !lost || Chance(0.5);
  const bool slow = Chance(troubles_.slow_store);
  const TimePoint landing = now_ + (slow ? MsBetween(30, 3000) : MsBetween(4, 30));
  At(landing, [this, call, lost, lands] {
    const SimulatedOwner* sender = OwnerOf(call.epoch);
    if (sender == nullptr) return;
    if (IsStoreDown()) return AnswerCommit(call, MsBetween(2, 10), CommitOutcome::kUnknown);
    if (!IsStorable(*call.commit)) {
      rejected_commits += 1;
      return AnswerCommit(call, Duration::zero(), CommitOutcome::kRejected);
    }
    const CommitOutcome outcome = lands ? CarryOut(call) : CommitOutcome::kUnknown;
    AnswerCommit(call, MsBetween(2, 10), lost ? CommitOutcome::kUnknown : outcome);
  });
}

bool SimulatedFleet::IsStorable(const Commit& commit) const {
  return std::all_of(commit.progress.begin(), commit.progress.end(), [this](const auto& it) {
    return static_cast<int64_t>(it.second.size()) <= store_value_bytes;
  });
}

// Applies the commit if the term is the one that its sender knew.
CommitOutcome SimulatedFleet::CarryOut(const CommitCall& call) {
  if (call.epoch != store_.epoch) return CommitOutcome::kReplaced;
  if (call.number == store_.last_commit) return CommitOutcome::kCommitted;
  if (call.term_revision != store_.term_revision) return CommitOutcome::kStaleRevision;
  const Commit& commit = *call.commit;
  store_.revision += 1;
  store_.term_revision = store_.revision;
  store_.last_commit = call.number;
  for (const auto& [id, bytes] : commit.progress) store_.progress[id] = bytes;
  if (commit.workers_in_use) store_.workers_in_use = *commit.workers_in_use;
  if (commit.lease_bounds) store_.lease_bounds = *commit.lease_bounds;
  for (const std::string& id : commit.removed_jobs) {
    store_.jobs.erase(id);
    store_.progress.erase(id);
    store_.cancelled.erase(id);
  }
  return CommitOutcome::kCommitted;
}

void SimulatedFleet::AnswerCommit(const CommitCall& call, Duration delay, CommitOutcome outcome) {
  const int64_t revision = store_.term_revision;
  const auto answer = [this, call, outcome, revision] {
    SimulatedOwner* owner = OwnerOf(call.epoch);
    if (owner != nullptr) FinishCommit(owner, call, outcome, revision);
  };
  if (delay == Duration::zero()) return answer();
  At(now_ + delay, answer);
}

void SimulatedFleet::FinishCommit(SimulatedOwner* owner, const CommitCall& call,
                                  CommitOutcome outcome, int64_t term_revision) {
  owner->commit_in_flight = false;
  switch (outcome) {
    case CommitOutcome::kUnknown:
      owner->next_commit = now_ + kCommitRetry;
      return;
    case CommitOutcome::kReplaced:
      owner->gone = true;
      return;
    case CommitOutcome::kStaleRevision:
      owner->term_revision = term_revision;
      return;
    case CommitOutcome::kRejected:
      owner->dispatcher.OnCommitRejected(*owner->commit, now_, WallMs());
      break;
    case CommitOutcome::kCommitted:
      owner->term_revision = term_revision;
      owner->last_proof = call.began;
      owner->dispatcher.OnOwnershipProof(call.began);
      owner->dispatcher.OnCommitted(*owner->commit, term_revision);
      break;
  }
  owner->commit.reset();
  owner->next_commit = now_ + kCommitBatchDelay;
  Check(owner);
}

void SimulatedFleet::ReadTerm(SimulatedOwner* owner) {
  const int64_t revision = owner->dispatcher.UnprovenRevision();
  if (revision == 0 || owner->term_read_in_flight) return;
  owner->term_read_in_flight = true;
  At(now_ + MsBetween(4, 20), [this, epoch = owner->epoch, revision] {
    SimulatedOwner* it = OwnerOf(epoch);
    if (it == nullptr) return;
    it->term_read_in_flight = false;
    if (IsStoreDown()) return;
    if (it->epoch == store_.epoch) it->dispatcher.OnProvenRevision(revision);
    if (it->epoch != store_.epoch) it->gone = true;
  });
}

// Outages.

// The store is down for a while. The registrations and the owner's key may lapse meanwhile, and the
// owner may be lost during the outage or soon after.
void SimulatedFleet::StopStore() {
  if (IsStoreDown()) return;
  const Duration length = MsBetween(300, 4000);
  store_down_until_ = now_ + length;
  if (Chance(0.5)) {
    for (const auto& [endpoint, it] : workers_) {
      Deregister(it.info.id, length);
      Register(it.info, length + MsBetween(1, 2000));
    }
  }
  if (!Chance(0.7)) return;
  if (Chance(0.4)) {
    At(now_ + MsBetween(0, Ms(length)), [this] {
      if (SimulatedOwner* it = owner()) it->gone = true;
    });
  }
  takeover_at_ = store_down_until_ + MsBetween(1, 2000);
}

void SimulatedFleet::TakeOverIfDue() {
  if (!takeover_at_ || now_ < *takeover_at_ || IsStoreDown()) return;
  takeover_at_.reset();
  TakeOver(Chance(0.5));
}

}  // namespace pomelopond::dispatch
