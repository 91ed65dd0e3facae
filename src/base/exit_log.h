// Writes a last log line when a process ends abnormally.
#ifndef POMELOPOND_BASE_EXIT_LOG_H_
#define POMELOPOND_BASE_EXIT_LOG_H_

namespace pomelopond {

// Installs handlers that log the cause to standard error before the process ends as it would
// without them. Fatal signals (SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT) and signals whose default
// action ends the process (SIGHUP, SIGQUIT, SIGALRM, SIGUSR1, SIGUSR2) are logged as
// `event=killed`, and uncaught exceptions as `event=terminated`. SIGKILL cannot be caught.
// `program` must stay valid until the process ends. Must be called in main before any thread is
// started.
void InstallExitLog(const char* program);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_EXIT_LOG_H_
