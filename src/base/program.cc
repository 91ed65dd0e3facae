#include "base/program.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "base/reload.h"
#include "base/result_code.h"
#include "base/signals.h"

namespace pomelopond {
namespace {

ProgramStart ExitWith(int status) {
  ProgramStart start;
  start.exit_status = status;
  return start;
}

LogLevel LevelOf(const std::string& text) {
  LogLevel level = LogLevel::kInfo;
  ParseLogLevel(text, &level);
  return level;
}

void SetModuleLevels(const EntrySettings& settings) {
  for (const auto& [module, text] : settings.log_levels) SetLogLevel(module, LevelOf(text));
}

std::optional<EntrySettings> ReadSettingsFile(const ProgramStart& start, std::string* error) {
  Result<Json> document = ReadSettingsDocument(start.path, error);
  if (!document.ok()) return std::nullopt;
  if (!start.host.empty() && document.value.is_object()) document.value["host"] = start.host;
  FieldErrors errors;
  EntrySettings settings = ReadEntrySettings(document.value, &errors);
  if (errors.empty()) return settings;
  *error = start.path + " has errors:\n" + ToString(errors);
  return std::nullopt;
}

ProgramStart LoadSettings(const cxxopts::ParseResult& args, const std::string& name) {
  ProgramStart start;
  start.path = args["settings"].as<std::string>();
  if (args.count("host") != 0) start.host = args["host"].as<std::string>();
  std::string error;
  const std::optional<EntrySettings> settings = ReadSettingsFile(start, &error);
  if (!settings) {
    std::cerr << name << ": " << error << "\n";
    return ExitWith(kExitUsage);
  }
  if (args.count("print-settings") != 0) {
    std::cout << ToJson(*settings).dump(2) << "\n";
    return start;
  }
  if (args.count("check-settings") != 0) {
    std::cout << start.path << ": settings are valid\n";
    return start;
  }
  InitLog(name, LevelOf(settings->log_level));
  SetModuleLevels(*settings);
  start.settings = settings;
  return start;
}

}  // namespace

void ReloadSettings(ProgramStart* start) {
  std::string error;
  const std::optional<EntrySettings> settings = ReadSettingsFile(*start, &error);
  if (!settings) return LogReloadFailure(error);
  LogReload(
      CompareSettings(ToJson(*start->settings), ToJson(*settings), {"log_level", "log_levels"}));
  SetLogLevel("", LevelOf(settings->log_level));
  // A module that the settings no longer list uses the default level again.
  for (const auto& [module, text] : start->settings->log_levels) {
    SetLogLevel(module, LevelOf(settings->log_level));
  }
  SetModuleLevels(*settings);
  // Other members keep their old values until a restart, so that the next reload reports them
  // again.
  start->settings->log_level = settings->log_level;
  start->settings->log_levels = settings->log_levels;
}

bool WaitForStopOrReload(ProgramStart* start, Duration timeout) {
  const SignalEvent event = WaitForSignal(timeout);
  if (event == SignalEvent::kReload) ReloadSettings(start);
  return event == SignalEvent::kStop;
}

Result<Json> ReadSettingsDocument(const std::string& path, std::string* error) {
  const Result<std::string> text = ReadFile(path);
  if (!text.ok()) {
    *error = "cannot read settings file '" + path + "'";
    return {text.ec, {}};
  }
  Result<Json> document = ParseJson(text.value);
  if (!document.ok()) *error = path + " is not valid JSON (bad_json)";
  return document;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return {ResultCode::kNotFound, {}};
  std::ostringstream text;
  text << file.rdbuf();
  return {{}, text.str()};
}

ProgramStart StartProgram(int argc, char** argv, const std::string& name,
                          const std::string& description) {
  cxxopts::Options options(name, description);
  options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>(), "FILE")(
      "host", "id of this entry host; overrides the member host of the settings",
      cxxopts::value<std::string>(), "ID")("check-settings", "check the settings and exit")(
      "print-settings", "print the settings in effect and exit")(
      "version", "print the version and exit")("help", "print this help and exit");
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << options.help();
      return ExitWith(kExitOk);
    }
    if (args.count("version") != 0) {
      std::cout << name << " " << kVersion << "\n";
      return ExitWith(kExitOk);
    }
    if (args.count("settings") == 0 || !args.unmatched().empty()) {
      std::cerr << name << ": --settings FILE is required; see --help\n";
      return ExitWith(kExitUsage);
    }
    return LoadSettings(args, name);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return ExitWith(kExitUsage);
  }
}

}  // namespace pomelopond
