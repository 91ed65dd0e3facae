#include "release/policy.h"

#include <gtest/gtest.h>

#include "release/note.h"
#include "release/rebase.h"

namespace pomelopond::release {
namespace {

Json Weights(double tail) { return {{"tail_latency", tail}, {"throughput", 1}, {"evictions", 1}}; }

Json Rule(const std::string& member, double tail) {
  return {{"member", member}, {"subject", "weights"}, {"value", Weights(tail)}};
}

Json Vote(const std::string& member, const std::string& policy) {
  return {{"member", member}, {"policy", policy}};
}

// Returns a release with the conflicting rules "p" and "q". "chair" is the chair; "a", "b" and "c"
// are the other members. `votes` maps members to rules.
Release Conflict(const std::map<std::string, std::string>& votes) {
  Release release = EmptyRelease();
  release.sections["members"] = {{"chair", {{"chair", true}}},
                                 {"a", Json::object()},
                                 {"b", Json::object()},
                                 {"c", Json::object()}};
  release.sections["policies"] = {{"p", Rule("a", 5)}, {"q", Rule("b", 1)}};
  for (const auto& [member, policy] : votes) {
    release.sections["votes"]["v-" + member] = Vote(member, policy);
  }
  return release;
}

Decision ResolveOnlySubject(const Release& release, FieldErrors* errors) {
  const std::vector<Decision> decisions = ResolvePolicies(release, errors);
  return decisions.size() == 1 ? decisions[0] : Decision{};
}

TEST(PolicyTest, MajorityDecidesWithoutTheChair) {
  FieldErrors errors;
  const Decision decision =
      ResolveOnlySubject(Conflict({{"a", "p"}, {"b", "p"}, {"c", "q"}, {"chair", "q"}}), &errors);
  EXPECT_TRUE(errors.empty()) << ToString(errors);
  EXPECT_EQ(decision.policy, "p");
  EXPECT_EQ(decision.decided_by, DecidedBy::kVotes);
  EXPECT_EQ(decision.value, Weights(5));
}

TEST(PolicyTest, ChairBreaksATie) {
  FieldErrors errors;
  const Decision decision =
      ResolveOnlySubject(Conflict({{"a", "p"}, {"b", "q"}, {"chair", "q"}}), &errors);
  EXPECT_TRUE(errors.empty()) << ToString(errors);
  EXPECT_EQ(decision.policy, "q");
  EXPECT_EQ(decision.decided_by, DecidedBy::kChair);
}

// Guards against a tie that is broken by the order of rule names.
TEST(PolicyTest, TieWithoutTheChairIsRefused) {
  for (const auto& votes : {std::map<std::string, std::string>{},
                            std::map<std::string, std::string>{{"a", "p"}, {"b", "q"}}}) {
    FieldErrors errors;
    EXPECT_EQ(ResolveOnlySubject(Conflict(votes), &errors).decided_by, DecidedBy::kNobody);
    ASSERT_EQ(errors.size(), 1u);
    EXPECT_EQ(errors[0].code, ResultCode::kTieWithoutVote);
  }
}

// Guards against counting a second vote of a member, a vote of a non-member or a vote for a missing
// rule.
TEST(PolicyTest, BadVotesAreErrors) {
  Release release = Conflict({{"a", "p"}, {"stranger", "p"}, {"b", "missing"}});
  release.sections["votes"]["again"] = Vote("a", "q");
  FieldErrors errors;
  ResolvePolicies(release, &errors);
  std::set<std::string> paths;
  for (const FieldError& it : errors) paths.insert(it.path);
  EXPECT_EQ(paths.count("votes.v-stranger.member"), 1u);
  EXPECT_EQ(paths.count("votes.v-b.policy"), 1u);
  EXPECT_EQ(paths.count("votes.v-a"), 1u);
}

// Guards against an accepted release that lacks the committee's decision.
TEST(PolicyTest, AcceptedReleaseHoldsTheResolvedPolicy) {
  const Json document = {{"base", 0},
                         {"author", "a"},
                         {"add",
                          {{"members", {{"chair", {{"chair", true}}}, {"a", Json::object()}}},
                           {"policies", {{"p", Rule("a", 5)}, {"q", Rule("chair", 1)}}},
                           {"votes", {{"v", Vote("chair", "q")}}}}}};
  FieldErrors errors;
  const Release release = ApplyNote(EmptyRelease(), ReadNote(document, &errors), &errors);
  ASSERT_TRUE(errors.empty()) << ToString(errors);
  EXPECT_EQ(release.resolved.at("weights"), Weights(1));
  EXPECT_EQ(ReadRelease(ToJson(release), &errors), release);
}

// Guards against a rebase that undoes a change by another operator.
TEST(RebaseTest, OnlyNotesThatDoNotOverlapCanBeRebased) {
  Note mine;
  mine.change["services"]["x"] = {{"team", "t"}};
  Note other;
  other.add["services"]["y"] = {{"team", "t"}};
  EXPECT_TRUE(OverlappingObjects(mine, {other}).empty());
  other.withdraw["services"].insert("x");
  EXPECT_EQ(OverlappingObjects(mine, {other}), std::set<std::string>{"services.x"});
}

}  // namespace
}  // namespace pomelopond::release
