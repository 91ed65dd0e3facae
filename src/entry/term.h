// Term is the stored record that determines which process owns the pool and orders all commits of
// the owner.
#ifndef POMELOPOND_ENTRY_TERM_H_
#define POMELOPOND_ENTRY_TERM_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/result.h"
#include "dispatch/dispatcher.h"
#include "entry/candidate.h"
#include "store/key_store.h"

namespace pomelopond::entry {

struct Term {
  int64_t epoch = 0;        // incremented with each new owner
  std::string owner;        // identity of a process, not of a host
  int64_t last_commit = 0;  // number of the owner's last commit
  // Processor time of the fastest owner so far, in thousandths of a core; 0: unknown.
  int64_t fastest_milli = 0;

  friend bool operator==(const Term& a, const Term& b) {
    return std::tie(a.epoch, a.owner, a.last_commit, a.fastest_milli) ==
           std::tie(b.epoch, b.owner, b.last_commit, b.fastest_milli);
  }
};

std::string Encode(const Term& term);
// Fails with kStoreBadAnswer if `bytes` is not an encoded term.
Result<Term> DecodeTerm(const std::string& bytes);

// Returns the transaction by which `owner` takes over the pool: `next` replaces the term stored at
// `revision` (0 if there is none). It takes effect only while no owner holds a lease.
store::Transaction TakeOver(const Candidate& owner, const Term& next, int64_t revision,
                            int64_t lease);

// Returns the transaction that writes a commit of the owner. It takes effect only while the stored
// term is at `revision`, so a delayed or repeated copy of it cannot overwrite a later commit.
store::Transaction CommitOf(const Term& next, int64_t revision, const dispatch::Commit& commit);

// Cause of a failed condition when this process writes its own term.
enum class TermConflict {
  kAlreadyApplied,  // an earlier copy of the write took effect
  kStaleRevision,   // this process is still the owner; write again at the stored revision
  kReplaced,        // another process owns the pool
};
TermConflict ResolveConflict(const Term& mine, const Term& stored);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_TERM_H_
