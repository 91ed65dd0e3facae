// What a failed condition of a write says of the write and of the copies of it that were sent
// before. A copy without an answer may be carried out seconds later, if its conditions hold then.
#ifndef POMELOPOND_ENTRY_WRITE_VERDICT_H_
#define POMELOPOND_ENTRY_WRITE_VERDICT_H_

#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "store/key_store.h"

namespace pomelopond::entry {

struct WriteVerdict {
  std::error_code result;
  // The condition stays failed, or the write has taken effect, so that no earlier copy can change
  // the result. Otherwise the result is true only if no copy is without an answer.
  bool is_final = true;
};

// Items of the keys that the conditions of a write name, as the store holds them.
using ExistingItems = std::vector<store::Item>;

bool Exists(const ExistingItems& items, const std::string& key);

// The creation of a job. `large_jobs_revision` is the one that its condition on kLargeJobsKey
// names, if it has one. `lasts` tells whether the key of a cancellation, given its revision,
// outlasts all copies of the creation.
WriteVerdict CreationVerdict(const std::string& id, const ExistingItems& existing,
                             std::optional<int64_t> large_jobs_revision,
                             const std::function<bool(int64_t)>& lasts);

// The cancellation of a job, on the condition that its record has not changed.
WriteVerdict CancellationVerdict(const std::string& id, const ExistingItems& existing);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_WRITE_VERDICT_H_
