// Determines and logs which changed settings a running program applies.
#ifndef POMELOPOND_BASE_RELOAD_H_
#define POMELOPOND_BASE_RELOAD_H_

#include <set>
#include <string>

#include "base/json.h"

namespace pomelopond {

// The names of the members that differ between two settings documents.
struct SettingsChange {
  std::set<std::string> applied;        // members that take effect immediately
  std::set<std::string> needs_restart;  // members that take effect at the next start

  friend bool operator==(const SettingsChange& a, const SettingsChange& b) {
    return a.applied == b.applied && a.needs_restart == b.needs_restart;
  }
};

// Compares two settings documents. `applicable` lists the members that the program can change while
// it runs.
SettingsChange CompareSettings(const Json& before, const Json& after,
                               const std::set<std::string>& applicable);

// Logs `event=reloaded` with the changed members, as a warning if some need a restart.
void LogReload(const SettingsChange& change);

// Logs `event=reload_failed`. The settings in effect stay unchanged.
void LogReloadFailure(const std::string& error);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_RELOAD_H_
