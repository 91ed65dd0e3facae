// Notes that were written against an older release than the one in force.
#ifndef POMELOPOND_RELEASE_REBASE_H_
#define POMELOPOND_RELEASE_REBASE_H_

#include <set>
#include <string>
#include <vector>

#include "release/note.h"

namespace pomelopond::release {

// What a note adds, changes or withdraws, as "section.name".
std::set<std::string> ModifiedObjects(const Note& note);

// What `note` and the notes accepted since its base both touch. Empty: the note can be rebased
// without undoing anybody's change.
std::set<std::string> OverlappingObjects(const Note& note, const std::vector<Note>& accepted_since);

// The same note on another base.
Note Rebase(Note note, int64_t base);

// What differs between two releases, as "section.name".
std::set<std::string> Diff(const Release& a, const Release& b);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_REBASE_H_
