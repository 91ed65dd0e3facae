#include "base/program.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/result_code.h"

namespace pomelopond {
namespace {

void StartLog(const std::string& name, const EntrySettings& settings) {
  LogLevel level = LogLevel::kInfo;
  ParseLogLevel(settings.log_level, &level);
  InitLog(name, level);
  for (const auto& [module, text] : settings.log_levels) {
    if (ParseLogLevel(text, &level)) SetLogLevel(module, level);
  }
}

ProgramStart LoadSettings(const cxxopts::ParseResult& args, const std::string& name) {
  const std::string path = args["settings"].as<std::string>();
  const Result<std::string> text = ReadFile(path);
  if (!text.ok()) {
    std::cerr << name << ": cannot read settings file " << path << "\n";
    return {std::nullopt, kExitUsage};
  }
  Result<Json> document = ParseJson(text.value);
  if (!document.ok()) {
    std::cerr << name << ": " << path << " is not valid JSON (bad_json)\n";
    return {std::nullopt, kExitUsage};
  }
  if (args.count("host") != 0 && document.value.is_object()) {
    document.value["host"] = args["host"].as<std::string>();
  }
  FieldErrors errors;
  EntrySettings settings = ReadEntrySettings(document.value, &errors);
  if (!errors.empty()) {
    std::cerr << name << ": " << path << " has errors:\n" << ToString(errors);
    return {std::nullopt, kExitUsage};
  }
  if (args.count("print-settings") != 0) {
    std::cout << ToJson(settings).dump(2) << "\n";
    return {std::nullopt, kExitOk};
  }
  if (args.count("check-settings") != 0) {
    std::cout << path << ": settings are valid\n";
    return {std::nullopt, kExitOk};
  }
  StartLog(name, settings);
  return {std::move(settings), kExitOk};
}

}  // namespace

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
      "host", "id of this entry host, in place of the settings' member host",
      cxxopts::value<std::string>(), "ID")("check-settings", "check the settings and exit")(
      "print-settings", "print the settings in effect and exit")(
      "version", "print the version and exit")("help", "print this help and exit");
  try {
    const cxxopts::ParseResult args = options.parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << options.help();
      return {std::nullopt, kExitOk};
    }
    if (args.count("version") != 0) {
      std::cout << name << " " << kVersion << "\n";
      return {std::nullopt, kExitOk};
    }
    if (args.count("settings") == 0 || !args.unmatched().empty()) {
      std::cerr << name << ": --settings FILE is required; see --help\n";
      return {std::nullopt, kExitUsage};
    }
    return LoadSettings(args, name);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return {std::nullopt, kExitUsage};
  }
}

}  // namespace pomelopond
