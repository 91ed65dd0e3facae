// Provides the resolution of policies from the rules and votes of the committee's members.
#ifndef POMELOPOND_RELEASE_POLICY_H_
#define POMELOPOND_RELEASE_POLICY_H_

#include <map>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "release/release.h"

namespace pomelopond::release {

// How the rule for a subject was chosen.
enum class DecidedBy {
  kOnlyRule,   // the subject has one rule
  kSameValue,  // all rules on the subject have the same value
  kVotes,      // the members' votes
  kChair,      // the chair's vote, after the other members tied
  kNobody      // the members tied and the chair has not voted for a leading rule
};

// Returns the name of `it` in the JSON form of a decision.
const char* DecidedByName(DecidedBy it);

// The decision on one subject, with the rules and votes that led to it.
struct Decision {
  std::string subject;  // "weights", "eviction" or "team-rank.<team>"
  DecidedBy decided_by = DecidedBy::kNobody;
  std::string policy;                        // name of the rule that applies; empty for kNobody
  Json value;                                // value of the rule that applies; null for kNobody
  std::vector<std::string> candidates;       // names of all rules on the subject
  std::map<std::string, std::string> votes;  // rule names by member, the chair included

  friend bool operator==(const Decision& a, const Decision& b) {
    return a.subject == b.subject && a.decided_by == b.decided_by && a.policy == b.policy &&
           a.value == b.value && a.candidates == b.candidates && a.votes == b.votes;
  }
};

// Decides every subject of the release's policies. Rules on one subject conflict when their values
// differ. In a conflict each member has one vote and the rule with the most votes applies; the
// chair's vote counts only when the other members tie. A tie without the chair's vote adds a
// kTieWithoutVote error and leaves the subject with kNobody. The decisions are the same in every
// process, since they depend on the release alone.
std::vector<Decision> ResolvePolicies(const Release& release, FieldErrors* errors);

// Returns the decided values by subject, as the accepted release holds them.
std::map<std::string, Json> ResolvedValues(const std::vector<Decision>& decisions);

Json ToJson(const Decision& decision);

// Each checks one object of the section policies, members or votes and adds every invalid field to
// `errors` with its path.
void CheckPolicy(const Json& object, const std::string& path, FieldErrors* errors);
void CheckMember(const Json& object, const std::string& path, FieldErrors* errors);
void CheckVote(const Json& object, const std::string& path, FieldErrors* errors);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_POLICY_H_
