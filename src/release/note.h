// Release notes: what is added, changed and withdrawn on top of a release.
#ifndef POMELOPOND_RELEASE_NOTE_H_
#define POMELOPOND_RELEASE_NOTE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/result.h"
#include "release/release.h"

namespace pomelopond::release {

struct Note {
  int64_t base = 0;  // version that the note was written against
  std::string author;
  std::map<std::string, Section> add;
  std::map<std::string, Section> change;
  std::map<std::string, std::set<std::string>> withdraw;

  friend bool operator==(const Note& a, const Note& b) {
    return a.base == b.base && a.author == b.author && a.add == b.add && a.change == b.change &&
           a.withdraw == b.withdraw;
  }
};

// Reads {"base", "author", "add", "change", "withdraw"}; all errors at once, by path.
Note ReadNote(const Json& document, FieldErrors* errors);

// The release that the note makes of `release`, with the next version. Errors: adding a name that
// exists, changing or withdrawing one that does not (kConflict), a base that is not the release's
// version (kStaleBase), rules that tie (kTieWithoutVote).
Release ApplyNote(const Release& release, const Note& note, FieldErrors* errors);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_NOTE_H_
