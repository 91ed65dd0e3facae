// Provides release notes: sets of additions, changes and withdrawals that turn one release into the
// next.
#ifndef POMELOPOND_RELEASE_NOTE_H_
#define POMELOPOND_RELEASE_NOTE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/result.h"
#include "release/release.h"

namespace pomelopond::release {

// One release note.
struct Note {
  int64_t base = 0;                    // version of the release that the note was written against
  std::string author;                  // name of the author
  std::map<std::string, Section> add;  // new objects by section
  std::map<std::string, Section> change;                  // replaced objects by section
  std::map<std::string, std::set<std::string>> withdraw;  // names of removed objects by section

  friend bool operator==(const Note& a, const Note& b) {
    return a.base == b.base && a.author == b.author && a.add == b.add && a.change == b.change &&
           a.withdraw == b.withdraw;
  }
};

// Reads {"base", "author", "add", "change", "withdraw"}. Adds every invalid field to `errors` with
// its path, so that one call reports all errors.
Note ReadNote(const Json& document, FieldErrors* errors);

// Returns the release that results from applying `note` to `release`, with the next version. Adds
// an error with its path to `errors` when the note adds a name that exists, changes or withdraws a
// name that does not exist or changes a job or watch (kConflict), when its base is not the version
// of `release` (kStaleBase), when a rule or vote refers to a missing object (kBadField), or when
// conflicting rules tie (kTieWithoutVote).
Release ApplyNote(const Release& release, const Note& note, FieldErrors* errors);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_NOTE_H_
