#include "release/note.h"

#include <limits>

#include "release/policy.h"

namespace pomelopond::release {
namespace {

std::map<std::string, Section> ReadSections(const Json& object, const std::string& path,
                                            FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  std::map<std::string, Section> sections;
  for (const char* section : kSections) {
    for (const auto& it : reader.ObjectOr(section).items()) {
      CheckObject(section, it.key(), it.value(), path + "." + section + "." + it.key(), errors);
      sections[section][it.key()] = it.value();
    }
  }
  reader.Finish();
  return sections;
}

std::map<std::string, std::set<std::string>> ReadNames(const Json& object, const std::string& path,
                                                       FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  std::map<std::string, std::set<std::string>> names;
  for (const char* section : kSections) {
    for (const Json& it : reader.ArrayOr(section)) {
      if (it.is_string()) {
        names[section].insert(it.get<std::string>());
        continue;
      }
      reader.Fail(section, ResultCode::kBadField, "must be an array of names");
    }
  }
  reader.Finish();
  return names;
}

}  // namespace

Note ReadNote(const Json& document, FieldErrors* errors) {
  JsonReader reader(document, "", errors);
  Note note;
  note.base = reader.Int("base", 0, std::numeric_limits<int64_t>::max());
  note.author = reader.String("author");
  note.add = ReadSections(reader.ObjectOr("add"), "add", errors);
  note.change = ReadSections(reader.ObjectOr("change"), "change", errors);
  note.withdraw = ReadNames(reader.ObjectOr("withdraw"), "withdraw", errors);
  if (note.add.empty() && note.change.empty() && note.withdraw.empty()) {
    reader.Fail("add", ResultCode::kBadField, "the note adds, changes and withdraws nothing");
  }
  reader.Finish();
  return note;
}

Release ApplyNote(const Release& release, const Note& note, FieldErrors* errors) {
  Release next = release;
  next.version += 1;
  if (note.base != release.version) {
    errors->push_back({"base", ResultCode::kStaleBase,
                       "is " + std::to_string(note.base) + ", but release " +
                           std::to_string(release.version) + " is in force"});
  }
  for (const auto& [section, names] : note.withdraw) {
    for (const std::string& it : names) {
      if (next.sections[section].erase(it) != 0) continue;
      errors->push_back(
          {"withdraw." + section, ResultCode::kConflict, it + " is not in the release"});
    }
  }
  for (const auto& [section, objects] : note.change) {
    for (const auto& [name, object] : objects) {
      if (section == "jobs" || section == "watches") {
        errors->push_back({"change." + section + "." + name, ResultCode::kConflict,
                           "a job cannot change; withdraw it and add one under another name"});
        continue;
      }
      const auto it = next.sections[section].find(name);
      if (it != next.sections[section].end()) {
        it->second = object;
        continue;
      }
      errors->push_back(
          {"change." + section + "." + name, ResultCode::kConflict, "is not in the release"});
    }
  }
  for (const auto& [section, objects] : note.add) {
    for (const auto& [name, object] : objects) {
      if (next.sections[section].emplace(name, object).second) continue;
      errors->push_back(
          {"add." + section + "." + name, ResultCode::kConflict, "is in the release already"});
    }
  }
  // Resolves the rules only when the release is otherwise valid, because rules refer to its
  // members.
  if (errors->empty()) next.resolved = ResolvedValues(ResolvePolicies(next, errors));
  return next;
}

}  // namespace pomelopond::release
