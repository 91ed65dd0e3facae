#include "tests/support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <thread>
#include <utility>

namespace pomelopond::support {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(5);

}  // namespace

Process::Process(const std::vector<std::string>& command, const std::string& log) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> arguments;
  for (const std::string& it : command) arguments.push_back(const_cast<char*>(it.c_str()));
  arguments.push_back(nullptr);
  if (posix_spawn(&pid_, command[0].c_str(), &actions, nullptr, arguments.data(), environ) != 0) {
    std::abort();
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process() { Kill(); }

Process::Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}

Process& Process::operator=(Process&& other) noexcept {
  if (this == &other) return *this;
  Kill();
  pid_ = std::exchange(other.pid_, -1);
  return *this;
}

void Process::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void Process::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

int Process::Wait(Duration timeout) {
  const TimePoint deadline = Now() + timeout;
  while (pid_ > 0 && Now() < deadline) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return -1;
}

}  // namespace pomelopond::support
