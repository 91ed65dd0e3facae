#include "base/exit_log.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <string_view>

namespace pomelopond {
namespace {

constexpr std::array<int, 10> kSignals{SIGSEGV, SIGBUS,  SIGILL,  SIGFPE,  SIGABRT,
                                       SIGHUP,  SIGQUIT, SIGALRM, SIGUSR1, SIGUSR2};
constexpr size_t kMaxLineBytes = 512;

const char* program_name = "";

// A log line in a fixed buffer, because a signal handler can neither allocate memory nor use the
// logging library.
class LogLine {
 public:
  void Add(std::string_view text) {
    const size_t n = std::min(text.size(), buf_.size() - size_);
    std::memcpy(buf_.data() + size_, text.data(), n);
    size_ += n;
  }

  // Replaces quotes, backslashes and line breaks by blanks, so that the text remains a single
  // quoted value on one line.
  void AddQuoted(std::string_view text) {
    Add("\"");
    for (const char it : text) {
      const bool plain = it != '"' && it != '\\' && it != '\n' && it != '\r';
      Add(plain ? std::string_view(&it, 1) : " ");
    }
    Add("\"");
  }

  void Write() {
    size_ = std::min(size_, buf_.size() - 1);
    Add("\n");
    // A failed write cannot be reported anywhere.
    if (write(STDERR_FILENO, buf_.data(), size_) < 0) return;
  }

 private:
  std::array<char, kMaxLineBytes> buf_{};
  size_t size_ = 0;
};

LogLine BeginLogLine(std::string_view event) {
  LogLine line;
  line.Add("level=ERROR program=");
  line.Add(program_name);
  line.Add(" module=main event=");
  line.Add(event);
  return line;
}

void OnSignal(int signal) {
  LogLine line = BeginLogLine("killed");
  line.Add(" signal=");
  const char* name = sigabbrev_np(signal);
  line.Add(name == nullptr ? "unknown" : name);
  line.Write();
  // SA_RESETHAND has restored the default action, so the signal now ends the process with the exit
  // status of that signal.
  raise(signal);
}

void OnTerminate() {
  LogLine line = BeginLogLine("terminated");
  line.Add(" error=");
  try {
    const std::exception_ptr thrown = std::current_exception();
    if (thrown) std::rethrow_exception(thrown);
    line.AddQuoted("no exception");
  } catch (const std::exception& e) {
    line.AddQuoted(e.what());
  } catch (...) {
    line.AddQuoted("not a std::exception");
  }
  line.Write();
  std::abort();
}

}  // namespace

void InstallExitLog(const char* program) {
  program_name = program;
  std::set_terminate(OnTerminate);
  struct sigaction action {};
  action.sa_handler = OnSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
  sigemptyset(&action.sa_mask);
  for (const int it : kSignals) sigaction(it, &action, nullptr);
}

}  // namespace pomelopond
