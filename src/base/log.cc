#include "base/log.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace pomelopond {
namespace {

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

void AppendValue(std::string* line, const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string::npos) {
    *line += value;
    return;
  }
  line->push_back('"');
  for (const char it : value) {
    if (it == '"' || it == '\\') line->push_back('\\');
    line->push_back(it == '\n' || it == '\r' ? ' ' : it);
  }
  line->push_back('"');
}

}  // namespace

void InitLog(std::string_view program, LogLevel level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p program=") +
      log4cxx::LogString(program) + LOG4CXX_STR(" module=%c %m%n"));
  const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->addAppender(appender);
  root->setLevel(ToLevel(level));
}

void SetLogLevel(std::string_view module, LogLevel level) {
  const log4cxx::LoggerPtr logger = module.empty()
                                        ? log4cxx::Logger::getRootLogger()
                                        : log4cxx::Logger::getLogger(std::string(module));
  logger->setLevel(ToLevel(level));
}

bool ParseLogLevel(std::string_view text, LogLevel* level) {
  if (text == "debug") {
    *level = LogLevel::kDebug;
  } else if (text == "info") {
    *level = LogLevel::kInfo;
  } else if (text == "warn") {
    *level = LogLevel::kWarn;
  } else if (text == "error") {
    *level = LogLevel::kError;
  } else {
    return false;
  }
  return true;
}

void Log(LogLevel level, const std::string& module, std::string_view event,
         std::initializer_list<LogField> fields) {
  const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger(module);
  const log4cxx::LevelPtr at = ToLevel(level);
  if (!logger->isEnabledFor(at)) return;
  std::string line = "event=";
  line += event;
  for (const LogField& it : fields) {
    line.push_back(' ');
    line += it.key;
    line.push_back('=');
    AppendValue(&line, it.value);
  }
  logger->forcedLog(at, line);
}

}  // namespace pomelopond
