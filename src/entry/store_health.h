// Whether the store answers this host, from the outcomes of its own calls.
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

  // False after several calls in a row have failed.
  bool IsAvailable() const;

  // True when a caller's request may call the store. While the store does not answer, only a few
  // requests may, to notice its return; the others are refused at once instead of being held.
  bool AllowRequest(TimePoint now);

 private:
  mutable std::mutex mutex_;      // guards the members below; a leaf in every lock order
  int consecutive_failures_ = 0;  // in a row
  TimePoint next_probe_{};
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_STORE_HEALTH_H_
