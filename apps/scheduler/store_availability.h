// Whether the store answers, shared by all store users of a scheduler process.
#ifndef POMELOPOND_APPS_SCHEDULER_STORE_AVAILABILITY_H_
#define POMELOPOND_APPS_SCHEDULER_STORE_AVAILABILITY_H_

#include <atomic>

namespace pomelopond::apps {

// Closed by the first call that fails and opened by a probe that succeeds. While it is closed only
// the prober calls the store, at random intervals, so that processes do not return in a burst.
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
