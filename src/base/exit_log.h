// A last log line for a process that ends abnormally.
#ifndef POMELOPOND_BASE_EXIT_LOG_H_
#define POMELOPOND_BASE_EXIT_LOG_H_

namespace pomelopond {

// From now on a fatal signal (SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT), a signal whose default
// action ends the process (SIGHUP, SIGQUIT, SIGALRM, SIGUSR1, SIGUSR2) and an uncaught exception
// write `event=killed` or `event=terminated` with the cause to standard error before the process
// ends as it would without. SIGKILL cannot be caught. `program` must outlive the process's log.
// Call it in main before any thread is started.
void InstallExitLog(const char* program);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_EXIT_LOG_H_
