// What tests of PoolOwner share: workers that do not answer, and polling for a condition.
#ifndef POMELOPOND_TESTS_ENTRY_OWNER_SUPPORT_H_
#define POMELOPOND_TESTS_ENTRY_OWNER_SUPPORT_H_

#include <atomic>
#include <functional>
#include <thread>

#include "base/time.h"
#include "dispatch/worker_calls.h"

namespace pomelopond::entry {

class UnresponsiveWorkers : public dispatch::WorkerCalls {
 public:
  void Heartbeat(const dispatch::HeartbeatOrder&, std::function<void(dispatch::Report)>) override {}
  void Start(const dispatch::StartOrder&, std::function<void(dispatch::Answer)>) override {}
  void Stop(const dispatch::StopOrder&, std::function<void(dispatch::Answer)>) override {}
  void Pace(const dispatch::PaceOrder&, std::function<void(dispatch::Answer)>) override {}
  void Disconnect() override { disconnects += 1; }

  std::atomic<int> disconnects{0};
};

// Returns false if the condition does not hold within 10 s.
inline bool WaitFor(const std::function<bool()>& condition) {
  constexpr int kPolls = 1000;
  for (int n = 0; n < kPolls; ++n) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

}  // namespace pomelopond::entry

#endif  // POMELOPOND_TESTS_ENTRY_OWNER_SUPPORT_H_
