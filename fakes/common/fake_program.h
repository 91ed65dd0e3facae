// Command line and faults shared by the stand-ins.
#ifndef POMELOPOND_FAKES_COMMON_FAKE_PROGRAM_H_
#define POMELOPOND_FAKES_COMMON_FAKE_PROGRAM_H_

#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <string>

#include "base/log.h"
#include "base/program.h"
#include "base/stop_signal.h"

namespace pomelopond::fakes {

// Parses the arguments after the stand-in added its own; empty when the program should end.
inline std::optional<cxxopts::ParseResult> ParseArguments(cxxopts::Options* options, int argc,
                                                          char** argv) {
  options->add_options()("log-level", "debug, info, warn or error",
                         cxxopts::value<std::string>()->default_value("warn"))(
      "help", "print this help and exit");
  try {
    cxxopts::ParseResult args = options->parse(argc, argv);
    if (args.count("help") != 0) {
      std::cout << options->help();
      return std::nullopt;
    }
    LogLevel level = LogLevel::kWarn;
    ParseLogLevel(args["log-level"].as<std::string>(), &level);
    InitLog(options->program(), level);
    return args;
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\n";
    return std::nullopt;
  }
}

// Waits for SIGTERM.
inline void ServeUntilStopped() {
  while (!WaitForStop(std::chrono::seconds(1))) continue;
}

}  // namespace pomelopond::fakes

#endif  // POMELOPOND_FAKES_COMMON_FAKE_PROGRAM_H_
