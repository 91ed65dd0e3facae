#include "base/reload.h"

#include "base/log.h"

namespace pomelopond {
namespace {

std::string Join(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& it : names) text += (text.empty() ? "" : ",") + it;
  return text;
}

std::set<std::string> ChangedMembers(const Json& before, const Json& after) {
  std::set<std::string> changed;
  for (const auto& it : before.items()) {
    if (!after.contains(it.key()) || after.at(it.key()) != it.value()) changed.insert(it.key());
  }
  for (const auto& it : after.items()) {
    if (!before.contains(it.key())) changed.insert(it.key());
  }
  return changed;
}

}  // namespace

SettingsChange CompareSettings(const Json& before, const Json& after,
                               const std::set<std::string>& applicable) {
  SettingsChange change;
  for (const std::string& it : ChangedMembers(before, after)) {
    (applicable.count(it) != 0 ? change.applied : change.needs_restart).insert(it);
  }
  return change;
}

void LogReload(const SettingsChange& change) {
  const LogLevel level = change.needs_restart.empty() ? LogLevel::kInfo : LogLevel::kWarn;
  Log(level, "main", "reloaded",
      {{"applied", Join(change.applied)}, {"needs_restart", Join(change.needs_restart)}});
}

void LogReloadFailure(const std::string& error) {
  Log(LogLevel::kError, "main", "reload_failed", {{"error", error}});
}

}  // namespace pomelopond
