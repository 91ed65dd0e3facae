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
  // Set if the creation was revoked: no copy so far can take effect, and another one has to name
  // this revision of the mark.
  std::optional<int64_t> revoked_by;
};

// Items of the keys that the conditions of a write name, as the store holds them.
using ExistingItems = std::vector<store::Item>;

bool Exists(const ExistingItems& items, const std::string& key);
int64_t RevisionOf(const ExistingItems& items, const std::string& key);  // 0: it does not exist

// Revisions that the conditions of a creation name.
struct CreationConditions {
  int64_t mark = 0;                   // of CancelledKey
  std::optional<int64_t> large_jobs;  // of kLargeJobsKey; unset for a small job
};

// The creation of a job. `lasts` tells whether the mark of a cancellation, given its revision,
// outlasts all copies of the creation.
WriteVerdict CreationVerdict(const std::string& id, const ExistingItems& existing,
                             const CreationConditions& named,
                             const std::function<bool(int64_t)>& lasts);

// The cancellation of a job, on the condition that its record has not changed.
WriteVerdict CancellationVerdict(const std::string& id, const ExistingItems& existing);

// A write after which no copy of the creation that was sent so far can take effect: they name
// another revision of the mark. `refusal` is what the caller is told.
store::Transaction RevocationOf(const std::string& id, int64_t mark, std::error_code refusal,
                                int64_t lease);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_WRITE_VERDICT_H_
