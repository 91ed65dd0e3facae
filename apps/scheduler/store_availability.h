// Tracks whether the store answers; shared by all users of the store in a scheduler process.
#ifndef POMELOPOND_APPS_SCHEDULER_STORE_AVAILABILITY_H_
#define POMELOPOND_APPS_SCHEDULER_STORE_AVAILABILITY_H_

#include <atomic>

namespace pomelopond::apps {

// The first failed call marks the store unavailable, and a successful probe marks it available
// again. While the store is unavailable, only the prober calls it, at random intervals, so that the
// processes do not reconnect all at once. Thread-safe.
class StoreAvailability {
 public:
  bool IsAvailable() const { return available_.load(); }
  void MarkUnavailable() { available_.store(false); }
  void MarkAvailable() { available_.store(true); }

 private:
  std::atomic<bool> available_{true};
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_STORE_AVAILABILITY_H_
