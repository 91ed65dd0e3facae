// A write of JobService that is under way.
#ifndef POMELOPOND_ENTRY_INTERNAL_PENDING_WRITE_H_
#define POMELOPOND_ENTRY_INTERNAL_PENDING_WRITE_H_

#include <functional>
#include <string>
#include <system_error>

#include "base/time.h"
#include "entry/job_service.h"
#include "entry/write_verdict.h"
#include "store/key_store.h"

namespace pomelopond::entry {

// The write of one key, which is retried until its outcome is known.
struct JobService::PendingWrite {
  const char* name = "";
  std::string job;
  store::Transaction transaction;
  // What a failed condition means, given the items of the conditions' keys.
  std::function<WriteVerdict(const ExistingItems&)> resolve;
  // Makes a creation name another revision of CancelledKey. Unset for other writes.
  std::function<void(PendingWrite*, int64_t)> rename;
  TimePoint began;
  TimePoint refused_deadline;    // end of the retries while the store refuses the commit
  TimePoint unknown_deadline;    // end of the retries once a response was lost
  bool outcome_unknown = false;  // an earlier attempt may still take effect
  std::function<void(std::error_code)> done;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_INTERNAL_PENDING_WRITE_H_
