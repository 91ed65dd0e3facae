// The record that decides who owns the pool, and orders all of the owner's commits.
#ifndef POMELOPOND_ENTRY_TERM_H_
#define POMELOPOND_ENTRY_TERM_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/result.h"
#include "dispatch/dispatcher.h"
#include "store/key_store.h"

namespace pomelopond::entry {

struct Term {
  int64_t epoch = 0;        // rises with each owner
  std::string owner;        // names one process, not a host
  int64_t last_commit = 0;  // number of the owner's last commit

  friend bool operator==(const Term& a, const Term& b) {
    return std::tie(a.epoch, a.owner, a.last_commit) == std::tie(b.epoch, b.owner, b.last_commit);
  }
};

std::string Encode(const Term& term);
// Fails with kStoreBadAnswer.
Result<Term> DecodeTerm(const std::string& bytes);

// Takes the pool over from `current`, which stands at `revision` (0: there is none), while no owner
// holds a lease.
store::Transaction TakeOver(const Term& next, int64_t revision, int64_t lease);

// Writes a commit of the owner. It takes effect only while the term stands at `revision`, so a late
// or repeated copy of it cannot overwrite a later commit.
store::Transaction CommitOf(const Term& next, int64_t revision, const dispatch::Commit& commit);

// What a failed condition says about a write of `mine`.
enum class TermConflict {
  kAlreadyApplied,  // an earlier copy of the write was carried out
  kStaleRevision,   // the term is still ours, at another revision: write again there
  kReplaced,        // another process owns the pool
};
TermConflict ResolveConflict(const Term& mine, const Term& stored);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_TERM_H_
