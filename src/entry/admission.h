// Admission control: which jobs are refused because they would complete too late to be of use.
#ifndef POMELOPOND_ENTRY_ADMISSION_H_
#define POMELOPOND_ENTRY_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"
#include "dispatch/waiting_counts.h"
#include "jobs/job.h"

namespace pomelopond::entry {

// The owner's record as last read, with an upper bound of its age.
struct KnownForecasts {
  const dispatch::WaitingCounts* counts = nullptr;  // null: none was read
  std::optional<Duration> age;                      // unset: unknown
};

struct Admission {
  bool accepted = true;
  int64_t wait_ms = 0;           // expected wait for room
  int64_t useless_after_ms = 0;  // wait from which the job would be of no use
  int64_t objective_ms = 0;      // by the caller's estimates
  Duration retry_after{};        // of a refused job, before it is spread
};

// Refuses a job if the expected wait for room is so long that the job would complete after three
// times its objective, both by its own estimates and by what the owner has learned of its queue.
// Without a forecast that is at most 3 s old all jobs are accepted, and perpetual and recurring
// jobs always are.
Admission DecideAdmission(const jobs::Job& job, const KnownForecasts& known);

// Retry-After in whole seconds: `base`, spread by the key (a job id), so that callers who were
// refused at the same time do not all retry at the same time.
int64_t SpreadRetryAfter(Duration base, const std::string& key);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_ADMISSION_H_
