// Provides the rebase of notes that were written against an older release than the one in force.
#ifndef POMELOPOND_RELEASE_REBASE_H_
#define POMELOPOND_RELEASE_REBASE_H_

#include <set>
#include <string>
#include <vector>

#include "release/note.h"

namespace pomelopond::release {

// Returns the objects that a note adds, changes or withdraws, as "section.name".
std::set<std::string> ModifiedObjects(const Note& note);

// Returns the objects that both `note` and the notes accepted since its base modify, as
// "section.name". When the result is empty, the note can be rebased without undoing another change.
std::set<std::string> OverlappingObjects(const Note& note, const std::vector<Note>& accepted_since);

// Returns the note with another base.
Note Rebase(Note note, int64_t base);

// Returns the objects that differ between two releases, as "section.name".
std::set<std::string> Diff(const Release& a, const Release& b);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_REBASE_H_
