// Provides the command line and the main loop that the fakes of platform services share.
#ifndef POMELOPOND_FAKES_COMMON_FAKE_PROGRAM_H_
#define POMELOPOND_FAKES_COMMON_FAKE_PROGRAM_H_

#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <string>

#include "base/log.h"
#include "base/program.h"
#include "base/signals.h"

namespace pomelopond::fakes {

// Adds the common options to those of the program, parses the arguments and initialises the log.
// Returns nullopt if the program is to exit: after --help or an invalid argument.
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

// Waits until SIGTERM arrives. Ignores SIGHUP, because a fake has no settings to reload.
inline void ServeUntilStopped() {
  while (WaitForSignal(std::chrono::seconds(1)) != SignalEvent::kStop) continue;
}

}  // namespace pomelopond::fakes

#endif  // POMELOPOND_FAKES_COMMON_FAKE_PROGRAM_H_
