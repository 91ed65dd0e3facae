#include "base/stop_signal.h"

#include <pthread.h>
#include <signal.h>
#include <time.h>

#include <atomic>

namespace pomelopond {
namespace {

std::atomic<bool> stop_requested{false};

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

void InstallStopSignal() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

bool WaitForStop(Duration timeout) {
  if (stop_requested.load()) return true;
  const sigset_t set = StopSignals();
  timespec limit{};
  limit.tv_sec = timeout.count() / 1000000;
  limit.tv_nsec = timeout.count() % 1000000 * 1000;
  if (sigtimedwait(&set, nullptr, &limit) > 0) stop_requested.store(true);
  return stop_requested.load();
}

}  // namespace pomelopond
