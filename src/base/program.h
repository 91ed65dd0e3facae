// Command line handling common to the programs of an entry host.
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

struct ProgramStart {
  std::optional<EntrySettings> settings;  // set when the program should run
  int exit_status = kExitOk;              // otherwise the status to end with
  std::string path;                       // of the settings file
  std::string host;                       // in place of the settings' member host, when not empty
};

// Handles --settings FILE, --host ID (replaces the member "host"), --check-settings,
// --print-settings, --version and --help, and starts the log. Errors go to standard error.
ProgramStart StartProgram(int argc, char** argv, const std::string& name,
                          const std::string& description);

// Reads the settings file again and puts its log levels in force. A file with errors changes
// nothing. Writes what changed and what waits for the next start to the log.
void ReloadSettings(ProgramStart* start);

// One wait of a program's main loop, up to `timeout`: true when the program has to stop. Settings
// that were announced as changed are reloaded.
bool WaitForStopOrReload(ProgramStart* start, Duration timeout);

// The document in a settings file. When it cannot be used, `fault` says why.
Result<Json> ReadSettingsDocument(const std::string& path, std::string* error);

// The contents of a file; fails with kNotFound.
Result<std::string> ReadFile(const std::string& path);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_PROGRAM_H_
