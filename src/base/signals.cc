#include "base/signals.h"

#include <pthread.h>
#include <signal.h>
#include <time.h>

#include <atomic>

namespace pomelopond {
namespace {

std::atomic<bool> stop_requested{false};

sigset_t HandledSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

}  // namespace

void InstallSignals() {
  const sigset_t set = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

SignalEvent WaitForSignal(Duration timeout) {
  if (stop_requested.load()) return SignalEvent::kStop;
  const sigset_t set = HandledSignals();
  timespec limit{};
  limit.tv_sec = timeout.count() / 1000000;
  limit.tv_nsec = timeout.count() % 1000000 * 1000;
  const int signal = sigtimedwait(&set, nullptr, &limit);
  if (signal <= 0) return SignalEvent::kNone;
  if (signal == SIGHUP) return SignalEvent::kReload;
  stop_requested.store(true);
  return SignalEvent::kStop;
}

}  // namespace pomelopond
