// Structured logging through log4cxx: each event is one line of key=value pairs.
#ifndef POMELOPOND_BASE_LOG_H_
#define POMELOPOND_BASE_LOG_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pomelopond {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// A key=value pair of a log line. The constructor formats numbers.
struct LogField {
  LogField(std::string_view k, std::string_view v) : key(k), value(v) {}
  LogField(std::string_view k, const char* v) : key(k), value(v) {}
  template <class T, class = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogField(std::string_view k, T v) : key(k), value(std::to_string(v)) {}

  std::string_view key;
  std::string value;
};

// Starts logging to standard error with `level` as the default level. Must be called once at start.
void InitLog(std::string_view program, LogLevel level);
// Sets the level of a module, or the default level if `module` is empty.
void SetLogLevel(std::string_view module, LogLevel level);
// Returns false if `text` is not the name of a level.
bool ParseLogLevel(std::string_view text, LogLevel* level);

// Writes a line `event=... key=value ...`. Values with spaces or quotes are quoted. Thread-safe.
void Log(LogLevel level, const std::string& module, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_LOG_H_
