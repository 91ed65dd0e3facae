// Provides the child processes of tests and benchmarks.
#ifndef POMELOPOND_TESTS_SUPPORT_PROCESS_H_
#define POMELOPOND_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "base/time.h"

namespace pomelopond::support {

// A child process. The destructor kills it if it still runs.
class Process {
 public:
  Process() = default;
  // Starts the program `command[0]` with the given arguments. Its standard output and standard
  // error are appended to the file `log`.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

  // Sends a signal. SIGSTOP pauses the process and SIGCONT resumes it.
  void Signal(int signal) const;

  // Sends SIGKILL and waits until the process has ended.
  void Kill();

  // Waits until the process ends. Returns its exit status, or -1 if a signal ended it or it did not
  // end within `timeout`.
  int Wait(Duration timeout);

 private:
  pid_t pid_ = -1;
};

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_PROCESS_H_
