// RevisionHistory bounds the age of state in the store. It compares revisions of the store with the
// steady clock of this host only, since the clocks of hosts may differ and jump.
#ifndef POMELOPOND_ENTRY_REVISION_HISTORY_H_
#define POMELOPOND_ENTRY_REVISION_HISTORY_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>

#include "base/time.h"

namespace pomelopond::entry {

// Thread-safe.
class RevisionHistory {
 public:
  // The store answered a call that was sent at `sent`, and its revision was `revision` then.
  void Record(TimePoint sent, int64_t revision);

  // Returns an upper bound of the age at `now` of state that takes in all changes up to `revision`,
  // or nullopt if no call of the last 10 s gives one.
  std::optional<Duration> MaxAge(int64_t revision, TimePoint now) const;

 private:
  // The store's revision was not higher than `revision` at `time`.
  struct Bound {
    TimePoint time;
    int64_t revision = 0;
  };

  mutable std::mutex mutex_;  // guards bounds_; a leaf in every lock order
  std::deque<Bound> bounds_;  // in the order of Record()
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_REVISION_HISTORY_H_
