// Child processes of tests and benchmarks.
#ifndef POMELOPOND_TESTS_SUPPORT_PROCESS_H_
#define POMELOPOND_TESTS_SUPPORT_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "base/time.h"

namespace pomelopond::support {

// A program that runs until it ends or this object goes, which kills it.
class Process {
 public:
  Process() = default;
  // Starts `words[0]` with its standard output and error appended to `log`.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }

  // Sends a signal; SIGSTOP and SIGCONT pause and resume.
  void Signal(int signal) const;

  // Kills with SIGKILL and waits.
  void Kill();

  // Waits until the process ends by itself. Returns its exit status, or -1 when it was ended by a
  // signal or did not end within `timeout`.
  int Wait(Duration timeout);

 private:
  pid_t pid_ = -1;
};

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_PROCESS_H_
