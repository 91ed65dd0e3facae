// Whether the store answers, shared by all store users of a scheduler process.
#ifndef POMELOPOND_APPS_SCHEDULER_STORE_GATE_H_
#define POMELOPOND_APPS_SCHEDULER_STORE_GATE_H_

#include <atomic>

namespace pomelopond::apps {

// Closed by the first call that fails and opened by a probe that succeeds. While it is closed only
// the prober calls the store, at random intervals, so that processes do not return in a burst.
class StoreGate {
 public:
  bool open() const { return open_.load(); }
  void Close() { open_.store(false); }
  void Open() { open_.store(true); }

 private:
  std::atomic<bool> open_{true};
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_STORE_GATE_H_
