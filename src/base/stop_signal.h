// SIGTERM and SIGINT as a state that threads can wait for.
#ifndef POMELOPOND_BASE_STOP_SIGNAL_H_
#define POMELOPOND_BASE_STOP_SIGNAL_H_

#include "base/time.h"

namespace pomelopond {

// Blocks SIGTERM and SIGINT in the calling thread and those it starts later, and ignores SIGPIPE.
// Call it in main before any thread is started.
void InstallStopSignal();

// Waits up to `timeout`; true when a stop has been asked for, then and on every later call.
bool WaitForStop(Duration timeout);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_STOP_SIGNAL_H_
