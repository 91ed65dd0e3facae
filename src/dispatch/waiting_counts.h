// Stored numbers of pending jobs, which hosts give to callers.
#ifndef POMELOPOND_DISPATCH_WAITING_COUNTS_H_
#define POMELOPOND_DISPATCH_WAITING_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/result.h"

namespace pomelopond::dispatch {

struct WaitingCounts {
  // The counts take in all jobs that were accepted up to this revision of the store. A reader
  // bounds the age of the counts by it.
  int64_t jobs_revision = 0;
  // Jobs without a started task, by queue. Queues without such jobs are absent.
  std::map<std::string, int> by_queue;
  // Largest memory, in bytes, that all these jobs together take in the owner.
  int64_t job_bytes = 0;

  friend bool operator==(const WaitingCounts& a, const WaitingCounts& b) {
    return std::tie(a.jobs_revision, a.by_queue, a.job_bytes) ==
           std::tie(b.jobs_revision, b.by_queue, b.job_bytes);
  }
  friend bool operator!=(const WaitingCounts& a, const WaitingCounts& b) { return !(a == b); }
};

std::string Encode(const WaitingCounts& counts);
// Returns kStoreBadAnswer for malformed input.
Result<WaitingCounts> DecodeWaitingCounts(const std::string& bytes);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WAITING_COUNTS_H_
