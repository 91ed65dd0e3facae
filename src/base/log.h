// Structured logs: one line of key=value pairs per event, through log4cxx.
#ifndef POMELOPOND_BASE_LOG_H_
#define POMELOPOND_BASE_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pomelopond {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// One pair of a log line. Numbers are formatted by the constructor.
struct LogField {
  LogField(std::string_view k, std::string_view v) : key(k), value(v) {}
  LogField(std::string_view k, const char* v) : key(k), value(v) {}
  template <class T, class = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogField(std::string_view k, T v) : key(k), value(std::to_string(v)) {}

  std::string_view key;
  std::string value;
};

// Sends lines to standard error. `level` is the default. SetLogLevel sets the level of a module, or
// the default for an empty name. Call once at start.
void InitLog(std::string_view program, LogLevel level);
void SetLogLevel(std::string_view module, LogLevel level);
bool ParseLogLevel(std::string_view text, LogLevel* level);

// Writes `event=... key=value ...`. Values with spaces or quotes are quoted. Thread-safe.
void Log(LogLevel level, const std::string& module, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_LOG_H_
