// Delivers signals to a program's main loop as events.
#ifndef POMELOPOND_BASE_SIGNALS_H_
#define POMELOPOND_BASE_SIGNALS_H_

#include "base/time.h"

namespace pomelopond {

enum class SignalEvent {
  kNone,    // the timeout expired
  kReload,  // SIGHUP: the settings may have changed
  kStop,    // SIGTERM or SIGINT
};

// Blocks SIGHUP, SIGTERM and SIGINT in the calling thread and the threads it starts later, and
// ignores SIGPIPE. Must be called in main before any thread is started.
void InstallSignals();

// Waits up to `timeout` for a signal. After the first kStop, every later call returns kStop
// immediately.
SignalEvent WaitForSignal(Duration timeout);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_SIGNALS_H_
