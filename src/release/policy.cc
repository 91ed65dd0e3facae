#include "release/policy.h"

#include <algorithm>
#include <set>

namespace pomelopond::release {
namespace {

constexpr double kMaxWeight = 1000;
constexpr int64_t kMaxRank = 1000000;
constexpr int64_t kMaxEvictions = 100000;
constexpr const char* kTeamRankPrefix = "team-rank.";

// Checks the value of a rule on `subject` and adds every invalid field to `errors`.
void CheckValue(const std::string& subject, const Json& value, const std::string& path,
                FieldErrors* errors) {
  JsonReader reader(value, path, errors);
  if (subject == "weights") {
    for (const char* it : {"tail_latency", "throughput", "evictions"}) {
      if (!reader.Has(it)) reader.Fail(it, ResultCode::kBadField, "is required");
      reader.NumberOr(it, 0, kMaxWeight, 0);
    }
  } else if (subject == "eviction") {
    reader.Int("per_minute", 0, kMaxEvictions);
    reader.BoolOr("for_urgent", true);
  } else if (subject.rfind(kTeamRankPrefix, 0) == 0) {
    reader.Int("rank", -kMaxRank, kMaxRank);
  } else {
    errors->push_back(
        {path, ResultCode::kBadField, "the subject must be weights, eviction or team-rank.<team>"});
    return;
  }
  reader.Finish();
}

// One object of the section policies.
struct Rule {
  std::string name;
  std::string member;  // name of the member who proposes the rule
  Json value;
};

std::string StringField(const Json& object, const char* key) { return object.value(key, ""); }

std::string ChairOf(const Section& members) {
  for (const auto& [name, object] : members) {
    if (object.value("chair", false)) return name;
  }
  return {};
}

// Returns the rules with the most votes, not counting the vote of the chair.
std::vector<std::string> RulesWithMostVotes(const Decision& decision, const std::string& chair) {
  std::map<std::string, int> tally;
  for (const std::string& it : decision.candidates) tally[it] = 0;
  for (const auto& [member, policy] : decision.votes) {
    if (member != chair) tally[policy] += 1;
  }
  int most = 0;
  for (const auto& [policy, n] : tally) most = std::max(most, n);
  std::vector<std::string> leading;
  for (const auto& [policy, n] : tally) {
    if (n == most) leading.push_back(policy);
  }
  return leading;
}

// Fills in the chosen rule of `decision`, or adds a kTieWithoutVote error.
void ResolveSubject(const std::vector<Rule>& rules, const std::string& chair, Decision* decision,
                    FieldErrors* errors) {
  const auto choose = [&](const std::string& name, DecidedBy by) {
    decision->policy = name;
    decision->decided_by = by;
    for (const Rule& it : rules) {
      if (it.name == name) decision->value = it.value;
    }
  };
  if (rules.size() == 1) return choose(rules[0].name, DecidedBy::kOnlyRule);
  const bool same = std::all_of(rules.begin(), rules.end(),
                                [&rules](const Rule& it) { return it.value == rules[0].value; });
  if (same) return choose(rules[0].name, DecidedBy::kSameValue);
  const std::vector<std::string> leading = RulesWithMostVotes(*decision, chair);
  if (leading.size() == 1) return choose(leading[0], DecidedBy::kVotes);
  const auto chair_vote = decision->votes.find(chair);
  if (chair_vote != decision->votes.end() &&
      std::find(leading.begin(), leading.end(), chair_vote->second) != leading.end()) {
    return choose(chair_vote->second, DecidedBy::kChair);
  }
  std::string names;
  for (const std::string& it : leading) names += (names.empty() ? "" : ", ") + it;
  errors->push_back({"policies", ResultCode::kTieWithoutVote,
                     "rules on " + decision->subject + " tie (" + names +
                         ") and the chair has not voted for one of them"});
}

// Checks that rules and votes refer to existing members and rules, that each member votes once per
// subject, and that there is at most one chair.
void CheckReferences(const Release& release, FieldErrors* errors) {
  const Section& members = release.sections.at("members");
  const Section& policies = release.sections.at("policies");
  int chairs = 0;
  for (const auto& [name, object] : members) chairs += object.value("chair", false) ? 1 : 0;
  if (chairs > 1) errors->push_back({"members", ResultCode::kBadField, "has more than one chair"});
  for (const auto& [name, object] : policies) {
    if (members.count(StringField(object, "member")) != 0) continue;
    errors->push_back(
        {"policies." + name + ".member", ResultCode::kBadField, "must be the name of a member"});
  }
  std::set<std::pair<std::string, std::string>> seen;
  for (const auto& [name, object] : release.sections.at("votes")) {
    const std::string member = StringField(object, "member");
    const auto policy = policies.find(StringField(object, "policy"));
    if (members.count(member) == 0) {
      errors->push_back(
          {"votes." + name + ".member", ResultCode::kBadField, "must be the name of a member"});
    }
    if (policy == policies.end()) {
      errors->push_back(
          {"votes." + name + ".policy", ResultCode::kBadField, "must be the name of a policy"});
      continue;
    }
    if (seen.emplace(member, StringField(policy->second, "subject")).second) continue;
    errors->push_back({"votes." + name, ResultCode::kBadField,
                       "is a second vote of " + member + " on the same subject"});
  }
}

}  // namespace

const char* DecidedByName(DecidedBy it) {
  switch (it) {
    case DecidedBy::kOnlyRule:
      return "only-rule";
    case DecidedBy::kSameValue:
      return "same-value";
    case DecidedBy::kVotes:
      return "votes";
    case DecidedBy::kChair:
      return "chair";
    case DecidedBy::kNobody:
      return "nobody";
  }
  return "nobody";
}

void CheckPolicy(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  reader.String("member");
  const std::string subject = reader.String("subject");
  CheckValue(subject, reader.Object("value"), path + ".value", errors);
  reader.Finish();
}

void CheckMember(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  reader.BoolOr("chair", false);
  reader.Finish();
}

void CheckVote(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  reader.String("member");
  reader.String("policy");
  reader.Finish();
}

std::vector<Decision> ResolvePolicies(const Release& release, FieldErrors* errors) {
  CheckReferences(release, errors);
  const std::string chair = ChairOf(release.sections.at("members"));
  std::map<std::string, std::vector<Rule>> rules;  // by subject
  std::map<std::string, std::string> subject_of;   // by rule
  for (const auto& [name, object] : release.sections.at("policies")) {
    const std::string subject = StringField(object, "subject");
    rules[subject].push_back(
        {name, StringField(object, "member"), object.value("value", Json::object())});
    subject_of[name] = subject;
  }
  std::vector<Decision> decisions;
  for (const auto& [subject, list] : rules) {
    Decision decision;
    decision.subject = subject;
    for (const Rule& it : list) decision.candidates.push_back(it.name);
    for (const auto& [name, vote] : release.sections.at("votes")) {
      const std::string policy = StringField(vote, "policy");
      const auto policy_subject = subject_of.find(policy);
      if (policy_subject == subject_of.end() || policy_subject->second != subject) continue;
      decision.votes[StringField(vote, "member")] = policy;
    }
    ResolveSubject(list, chair, &decision, errors);
    decisions.push_back(std::move(decision));
  }
  return decisions;
}

std::map<std::string, Json> ResolvedValues(const std::vector<Decision>& decisions) {
  std::map<std::string, Json> values;
  for (const Decision& it : decisions) {
    if (it.decided_by != DecidedBy::kNobody) values[it.subject] = it.value;
  }
  return values;
}

Json ToJson(const Decision& decision) {
  return {{"subject", decision.subject},       {"decided_by", DecidedByName(decision.decided_by)},
          {"policy", decision.policy},         {"value", decision.value},
          {"candidates", decision.candidates}, {"votes", decision.votes}};
}

}  // namespace pomelopond::release
