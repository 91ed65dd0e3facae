#include "routing/target_choice.h"

#include <gtest/gtest.h>

#include "routing/target_choice_alternatives.h"

namespace pomelopond::routing {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};
constexpr Duration kMs = std::chrono::milliseconds(1);

// Returns ten targets that answer in 10 ms, alternately in domains a and b, with one slot each.
std::vector<Target> Targets() {
  std::vector<Target> targets(10);
  for (size_t n = 0; n < targets.size(); ++n) {
    targets[n].failure_domain = n % 2 == 0 ? "a" : "b";
    targets[n].slot_share = 1;
    targets[n].latency = 10 * kMs;
    targets[n].samples = 100;
    targets[n].last_sent = kNow;
    targets[n].last_answer = kNow;
  }
  return targets;
}

// Guards against exceeding a router's share of a target's slots, and against new requests to a
// target that is leaving.
TEST(TargetChoiceTest, NeverTakesAFullOrLeavingTarget) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) it.in_flight = 1;
  EXPECT_EQ(ChooseTarget(targets, "a", 1, kNow, 0.5), -1);
  targets[3].in_flight = 0;
  EXPECT_EQ(ChooseTarget(targets, "a", 1, kNow, 0.5), 3);
  targets[3].leaving = true;
  EXPECT_EQ(ChooseTarget(targets, "a", 1, kNow, 0.5), -1);
  EXPECT_EQ(ChooseTarget({}, "a", 1, kNow, 0.5), -1);
}

// Guards against routers that all send to the same target of their failure domain at the same
// moment.
TEST(TargetChoiceTest, DrawSpreadsOverEqualNearTargets) {
  std::vector<int> hits(10);
  for (int n = 0; n < 10; ++n)
    hits[static_cast<size_t>(ChooseTarget(Targets(), "a", 1, kNow, n / 10.0))]++;
  EXPECT_EQ(hits, (std::vector<int>{2, 0, 2, 0, 2, 0, 2, 0, 2, 0}));
}

// Guards against preferring a slow target in the local failure domain to a normal target in another
// domain.
TEST(TargetChoiceTest, NearDomainDoesNotOutweighASlowTarget) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) it.in_flight = 1;
  targets[0].in_flight = 0;
  targets[0].latency = 30 * kMs;
  targets[1].in_flight = 0;
  EXPECT_EQ(ChooseTarget(targets, "a", 1, kNow, 0), 1);
}

// Guards against sending a request to a slow target when a normal target becomes free soon enough
// to answer earlier, and against idle slow targets when the queue is so long that using them helps.
TEST(TargetChoiceTest, HoldsBackFromASlowTargetWhileTheQueueIsShort) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) it.in_flight = 1;
  targets[0].in_flight = 0;
  targets[0].latency = 30 * kMs;
  EXPECT_EQ(ChooseTarget(targets, "a", 1, kNow, 0), -1);
  EXPECT_EQ(ChooseTarget(targets, "a", 4, kNow, 0), -1);
  EXPECT_EQ(ChooseTarget(targets, "a", 5, kNow, 0), 0);
}

// Guards against a request that waits forever because every target is slow or leaving.
TEST(TargetChoiceTest, NeverHoldsBackWhenNothingIsInFlight) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) it.leaving = true;
  targets[0].leaving = false;
  targets[0].latency = 500 * kMs;
  EXPECT_EQ(ChooseTarget(targets, "a", 1, kNow, 0), 0);
}

// Guards against a target that stays idle forever after it was slow once.
TEST(TargetChoiceTest, SlowTargetIsTriedAgainAfterAnInterval) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) it.in_flight = 1;
  targets[0].in_flight = 0;
  targets[0].latency = 30 * kMs;
  EXPECT_EQ(ChooseTarget(targets, "a", 1, kNow + std::chrono::seconds(5), 0), 0);
}

// Guards against classifying a normal target as slow after one answer from the heavy tail.
TEST(TargetChoiceTest, OneLateAnswerDoesNotMakeATargetSlow) {
  std::vector<Target> targets = Targets();
  RecordLatency(&targets[0], 1000 * kMs, kNow);
  EXPECT_EQ(ChooseTarget(targets, "a", 1, kNow, 0), 0);
  for (int n = 0; n < 20; ++n) RecordLatency(&targets[0], 30 * kMs, kNow);
  EXPECT_NE(ChooseTarget(targets, "a", 1, kNow, 0), 0);
}

// Guards against a recovered target whose old estimate takes as many answers to correct as that of
// a busy target.
TEST(TargetChoiceTest, StaleEstimateFollowsFewAnswers) {
  Target busy;
  busy.latency = 30 * kMs;
  busy.samples = 1000;
  busy.last_answer = kNow;
  Target stale = busy;
  for (int n = 1; n <= 4; ++n) {
    RecordLatency(&busy, 10 * kMs, kNow);
    RecordLatency(&stale, 10 * kMs, kNow + n * std::chrono::seconds(10));
  }
  EXPECT_GT(busy.latency, 17 * kMs);
  EXPECT_LT(stale.latency, 17 * kMs);
}

// Guards against an invalid comparison because an alternative sends requests to leaving targets.
TEST(TargetChoiceAlternativesTest, EachAvoidsLeavingTargets) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) it.leaving = true;
  EXPECT_EQ(ChooseAnyFree(targets, 0.5), -1);
  EXPECT_EQ(ChooseFreeLeastWait(targets, 0.5), -1);
  EXPECT_EQ(ChooseRandom(targets, 0.5), -1);
  EXPECT_EQ(ChooseRoundRobin(targets, 2), -1);
  EXPECT_EQ(ChoosePowerOfTwo(targets, 0.1, 0.9), -1);
  EXPECT_EQ(ChooseLeastWait(targets, 0.5), -1);
  EXPECT_EQ(ChooseProbed(targets, {{4, 1, 9 * kMs}}, 8), -1);
  targets[4].leaving = false;
  EXPECT_EQ(ChooseRandom(targets, 0.5), 4);
  EXPECT_EQ(ChooseRoundRobin(targets, 4), 4);
  EXPECT_EQ(ChoosePowerOfTwo(targets, 0.1, 0.9), 4);
  EXPECT_EQ(ChooseLeastWait(targets, 0.5), 4);
  EXPECT_EQ(ChooseProbed(targets, {{3, 0, kMs}, {4, 1, 9 * kMs}}, 8), 1);
}

// Guards against an invalid comparison because an alternative does not follow the rule in its name.
TEST(TargetChoiceAlternativesTest, EachPrefersTheLessLoaded) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) it.in_flight = 2;
  targets[7].in_flight = 1;
  EXPECT_EQ(ChoosePowerOfTwo(targets, 0.1, 0.75), 7);
  EXPECT_EQ(ChooseLeastWait(targets, 0.1), 7);
  EXPECT_EQ(ChooseRoundRobin(targets, 9), 0);
  targets[7].slot_share = 2;
  EXPECT_EQ(ChooseAnyFree(targets, 0.1), 7);
  EXPECT_EQ(ChooseFreeLeastWait(targets, 0.1), 7);
  // A target with a free slot is preferred to a faster target without one.
  EXPECT_EQ(ChooseProbed(targets, {{1, 8, kMs}, {2, 7, 9 * kMs}, {3, 7, 5 * kMs}}, 8), 2);
  EXPECT_EQ(ChooseProbed(targets, {{1, 10, kMs}, {2, 9, 9 * kMs}}, 8), 1);
}

}  // namespace
}  // namespace pomelopond::routing
