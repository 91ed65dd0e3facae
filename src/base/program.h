// Command line, settings file and reload handling of the programs of an entry host.
#ifndef POMELOPOND_BASE_PROGRAM_H_
#define POMELOPOND_BASE_PROGRAM_H_

#include <optional>
#include <string>

#include "base/entry_settings.h"
#include "base/time.h"

namespace pomelopond {

inline constexpr const char* kVersion = "0.1.0";

// Exit statuses of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

// The outcome of processing the command line.
struct ProgramStart {
  std::optional<EntrySettings> settings;  // set if the program should run
  int exit_status = kExitOk;              // exit status if the program should not run
  std::string path;                       // path of the settings file
  std::string host;                       // overrides the settings' member "host" if not empty
};

// Handles --settings FILE, --host ID (overrides the settings' member "host"), --check-settings,
// --print-settings, --version and --help, and initializes logging. Errors go to standard error.
ProgramStart StartProgram(int argc, char** argv, const std::string& name,
                          const std::string& description);

// Reads the settings file again and applies its log levels. A file with errors changes nothing.
// Logs which members were applied and which need a restart.
void ReloadSettings(ProgramStart* start);

// Waits up to `timeout` for a signal; a program's main loop calls it repeatedly. Reloads the
// settings on SIGHUP. Returns true if the program must stop.
bool WaitForStopOrReload(ProgramStart* start, Duration timeout);

// Reads the JSON document in a settings file. If that fails, `error` receives the reason.
Result<Json> ReadSettingsDocument(const std::string& path, std::string* error);

// Returns the contents of a file. Fails with kNotFound if the file cannot be opened.
Result<std::string> ReadFile(const std::string& path);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_PROGRAM_H_
