#include "entry/term.h"

#include "base/integer.h"
#include "base/json.h"
#include "base/result_code.h"
#include "entry/keys.h"
#include "jobs/limits.h"

namespace pomelopond::entry {
namespace {

// Largest number of a commit, which no owner reaches.
constexpr int64_t kMaxCommit = 1000000000000000;

}  // namespace

std::string Encode(const Term& term) {
  std::string bytes;
  Json::to_msgpack(Json::array({term.epoch, term.owner, term.last_commit, term.fastest_milli}),
                   bytes);
  return bytes;
}

Result<Term> DecodeTerm(const std::string& bytes) {
  const Json in = ParseMessagePack(bytes);
  Term term;
  try {
    term.epoch = RequireWholeNumber(in.at(0), "epoch", 0, jobs::kMaxEpoch);
    in.at(1).get_to(term.owner);
    term.last_commit = RequireWholeNumber(in.at(2), "last_commit", 0, kMaxCommit);
    // Terms of versions before the member was added lack it.
    if (in.size() > 3) {
      term.fastest_milli = RequireWholeNumber(in.at(3), "fastest_milli", 0, kMaxResourceAmount);
    }
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(term)};
}

store::Transaction TakeOver(const Candidate& owner, const Term& next, int64_t revision,
                            int64_t lease) {
  store::Transaction out;
  out.conditions = {{kOwnerKey, 0}, {kTermKey, revision}};
  out.writes = {{kOwnerKey, Encode(owner), lease}, {kTermKey, Encode(next), 0}};
  return out;
}

store::Transaction CommitOf(const Term& next, int64_t revision, const dispatch::Commit& commit) {
  store::Transaction out;
  out.conditions = {{kTermKey, revision}};
  out.writes = {{kTermKey, Encode(next), 0}};
  for (const auto& [id, bytes] : commit.progress) {
    out.writes.push_back({ProgressKey(id), bytes, 0});
  }
  if (commit.workers_in_use) out.writes.push_back({kWorkersKey, *commit.workers_in_use, 0});
  if (commit.lease_bounds) out.writes.push_back({kLeaseBoundsKey, *commit.lease_bounds, 0});
  if (commit.waiting_counts) out.writes.push_back({kWaitingKey, *commit.waiting_counts, 0});
  if (commit.pool_full && *commit.pool_full) out.writes.push_back({kPoolFullKey, "1", 0});
  if (commit.pool_full && !*commit.pool_full) out.deletes.push_back(kPoolFullKey);
  for (const std::string& it : commit.removed_jobs) {
    out.deletes.push_back(JobKey(it));
    out.deletes.push_back(CancelKey(it));
    out.deletes.push_back(ProgressKey(it));
  }
  return out;
}

TermConflict ResolveConflict(const Term& mine, const Term& stored) {
  if (stored == mine) return TermConflict::kAlreadyApplied;
  if (stored.epoch == mine.epoch && stored.owner == mine.owner) return TermConflict::kStaleRevision;
  return TermConflict::kReplaced;
}

}  // namespace pomelopond::entry
