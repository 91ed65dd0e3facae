// StoreHealth tracks whether the store answers this host, based on the outcomes of the host's own
// calls.
#ifndef POMELOPOND_ENTRY_STORE_HEALTH_H_
#define POMELOPOND_ENTRY_STORE_HEALTH_H_

#include <mutex>

#include "base/time.h"

namespace pomelopond::entry {

// Thread-safe.
class StoreHealth {
 public:
  void OnSuccess();
  void OnFailure();

  // Returns false after several consecutive calls have failed.
  bool IsAvailable() const;

  // Returns true if a caller's request may call the store. While the store is unavailable, only a
  // few requests may call it, as probes that detect its recovery. The caller's other requests are
  // refused at once instead of being held.
  bool AllowRequest(TimePoint now);

 private:
  mutable std::mutex mutex_;      // guards the members below; a leaf in every lock order
  int consecutive_failures_ = 0;  // failed calls since the last success
  TimePoint next_probe_{};
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_STORE_HEALTH_H_
