// Members' rules, their votes, and the policy that results.
#ifndef POMELOPOND_RELEASE_POLICY_H_
#define POMELOPOND_RELEASE_POLICY_H_

#include <map>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "release/release.h"

namespace pomelopond::release {

// How a subject was decided.
enum class DecidedBy { kOnlyRule, kSameValue, kVotes, kChair, kNobody };

const char* DecidedByName(DecidedBy it);

// The decision on one subject, with all that led to it.
struct Decision {
  std::string subject;
  DecidedBy decided_by = DecidedBy::kNobody;
  std::string policy;  // the name of the rule that applies
  Json value;
  std::vector<std::string> candidates;       // names of all rules on the subject
  std::map<std::string, std::string> votes;  // rule by member, the chair's included

  friend bool operator==(const Decision& a, const Decision& b) {
    return a.subject == b.subject && a.decided_by == b.decided_by && a.policy == b.policy &&
           a.value == b.value && a.candidates == b.candidates && a.votes == b.votes;
  }
};

// Decides every subject of the release's policies. Rules on one subject conflict when their values
// differ. Then the members' votes decide, each member having one; the chair votes only where the
// others tie. A tie without the chair's vote is a kTieWithoutVote error and decided by kNobody.
// The same on every process, since it depends on the release alone.
std::vector<Decision> ResolvePolicies(const Release& release, FieldErrors* errors);

// Values by subject, as the accepted release holds them.
std::map<std::string, Json> ResolvedValues(const std::vector<Decision>& decisions);

Json ToJson(const Decision& decision);

// Checks one object of the sections policies, members or votes.
void CheckPolicy(const Json& object, const std::string& path, FieldErrors* errors);
void CheckMember(const Json& object, const std::string& path, FieldErrors* errors);
void CheckVote(const Json& object, const std::string& path, FieldErrors* errors);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_POLICY_H_
