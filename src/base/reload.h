// What a change of a program's settings takes effect on.
#ifndef POMELOPOND_BASE_RELOAD_H_
#define POMELOPOND_BASE_RELOAD_H_

#include <set>
#include <string>

#include "base/json.h"

namespace pomelopond {

// Names of the members that differ between two settings documents.
struct SettingsChange {
  std::set<std::string> applied;        // in force from now on
  std::set<std::string> needs_restart;  // in force from the next start

  friend bool operator==(const SettingsChange& a, const SettingsChange& b) {
    return a.applied == b.applied && a.needs_restart == b.needs_restart;
  }
};

// `applicable` names the members that the program can change while it runs.
SettingsChange CompareSettings(const Json& before, const Json& after,
                               const std::set<std::string>& applicable);

// Writes `event=reloaded` with the names, as a warning when some need a restart.
void LogReload(const SettingsChange& change);

// Writes `event=reload_failed`: the settings in force stay.
void LogReloadFailure(const std::string& error);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_RELOAD_H_
