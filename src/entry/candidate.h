// Candidate is the stored record of a process that owns the pool or asks for it.
#ifndef POMELOPOND_ENTRY_CANDIDATE_H_
#define POMELOPOND_ENTRY_CANDIDATE_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/result.h"

namespace pomelopond::entry {

struct Candidate {
  std::string process;          // identity of a process, not of a host
  int64_t processor_milli = 0;  // of its host, in thousandths of a core; 0: unknown

  friend bool operator==(const Candidate& a, const Candidate& b) {
    return std::tie(a.process, a.processor_milli) == std::tie(b.process, b.processor_milli);
  }
};

std::string Encode(const Candidate& candidate);
// Fails with kStoreBadAnswer if `bytes` is not an encoded candidate, such as the bare process name
// that owners of earlier versions store.
Result<Candidate> DecodeCandidate(const std::string& bytes);

// Returns true if a host with `processor_milli` has at least twice the processor time of the
// owner's host. A smaller gain does not justify a change of the owner, during which no task starts.
bool IsMuchFaster(int64_t processor_milli, const Candidate& owner);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_CANDIDATE_H_
