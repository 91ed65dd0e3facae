#include "release/rebase.h"

#include <algorithm>
#include <iterator>

namespace pomelopond::release {
namespace {

void AddNames(const std::map<std::string, Section>& sections, std::set<std::string>* names) {
  for (const auto& [section, objects] : sections) {
    for (const auto& [name, object] : objects) names->insert(section + "." + name);
  }
}

// Adds the objects of `a` that `b` lacks or holds with another value.
void AddDifferences(const Release& a, const Release& b, std::set<std::string>* names) {
  for (const auto& [section, objects] : a.sections) {
    for (const auto& [name, object] : objects) {
      const auto other = b.sections.find(section);
      const bool same = other != b.sections.end() && other->second.count(name) != 0 &&
                        other->second.at(name) == object;
      if (!same) names->insert(section + "." + name);
    }
  }
}

}  // namespace

std::set<std::string> ModifiedObjects(const Note& note) {
  std::set<std::string> names;
  AddNames(note.add, &names);
  AddNames(note.change, &names);
  for (const auto& [section, withdrawn] : note.withdraw) {
    for (const std::string& it : withdrawn) names.insert(section + "." + it);
  }
  return names;
}

std::set<std::string> OverlappingObjects(const Note& note,
                                         const std::vector<Note>& accepted_since) {
  const std::set<std::string> own = ModifiedObjects(note);
  std::set<std::string> common;
  for (const Note& it : accepted_since) {
    const std::set<std::string> other = ModifiedObjects(it);
    std::set_intersection(own.begin(), own.end(), other.begin(), other.end(),
                          std::inserter(common, common.end()));
  }
  return common;
}

Note Rebase(Note note, int64_t base) {
  note.base = base;
  return note;
}

std::set<std::string> Diff(const Release& a, const Release& b) {
  std::set<std::string> names;
  AddDifferences(a, b, &names);
  AddDifferences(b, a, &names);
  return names;
}

}  // namespace pomelopond::release
