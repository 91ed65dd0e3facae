// Signals to a program as states that its main loop waits for.
#ifndef POMELOPOND_BASE_SIGNALS_H_
#define POMELOPOND_BASE_SIGNALS_H_

#include "base/time.h"

namespace pomelopond {

enum class SignalEvent {
  kNone,    // the time has passed
  kReload,  // SIGHUP: the settings may have changed
  kStop,    // SIGTERM or SIGINT
};

// Blocks these signals in the calling thread and those it starts later, and ignores SIGPIPE. Call
// it in main before any thread is started.
void InstallSignals();

// Waits up to `timeout`. After a stop has been asked for, every later call says so at once.
SignalEvent WaitForSignal(Duration timeout);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_SIGNALS_H_
