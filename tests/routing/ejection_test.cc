#include "routing/ejection.h"

#include <gtest/gtest.h>

#include "routing/target_choice.h"

namespace pomelopond::routing {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};
constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);

std::vector<Target> Targets() {
  std::vector<Target> targets(10);
  for (Target& it : targets) {
    it.share = 4;
    it.latency = 10 * kMs;
    it.samples = 100;
    it.last_sent = kNow;
    it.last_answer = kNow;
  }
  return targets;
}

void Fail(Target* target, int times) {
  for (int n = 0; n < times; ++n) AddResult(target, true, kNow);
}

// Guards against requests that are sent to a target which fails everything it gets.
TEST(EjectionTest, FailingTargetGetsNothingUntilProbed) {
  std::vector<Target> targets = Targets();
  Fail(&targets[0], 4);
  EXPECT_EQ(UpdateEjection(&targets, kNow), 0);
  Fail(&targets[0], 1);
  EXPECT_EQ(UpdateEjection(&targets, kNow), 1);
  for (size_t n = 1; n < targets.size(); ++n) targets[n].in_flight = 4;
  EXPECT_EQ(ChooseTarget(targets, "", 1, kNow, 0), -1);
  UpdateEjection(&targets, kNow + 5 * kSecond);
  EXPECT_EQ(ChooseTarget(targets, "", 1, kNow, 0), 0);
  targets[0].in_flight = 1;
  EXPECT_EQ(ChooseTarget(targets, "", 1, kNow, 0), -1);
}

TEST(EjectionTest, ReturnsAfterThreeGoodProbes) {
  std::vector<Target> targets = Targets();
  Fail(&targets[0], 5);
  UpdateEjection(&targets, kNow);
  UpdateEjection(&targets, kNow + 5 * kSecond);
  for (int n = 0; n < 2; ++n) AddResult(&targets[0], false, kNow + 5 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kProbation);
  AddResult(&targets[0], false, kNow + 5 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kHealthy);
}

// Guards against a broken target that costs a request every 5 s for ever.
TEST(EjectionTest, FailedProbeEjectsForLonger) {
  std::vector<Target> targets = Targets();
  Fail(&targets[0], 5);
  UpdateEjection(&targets, kNow);
  UpdateEjection(&targets, kNow + 5 * kSecond);
  AddResult(&targets[0], true, kNow + 5 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kEjected);
  UpdateEjection(&targets, kNow + 14 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kEjected);
  UpdateEjection(&targets, kNow + 15 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kProbation);
}

// Guards against a fault of many targets that ejects so many that the rest cannot hold the load.
TEST(EjectionTest, NeverMoreThanAFifthAtOnce) {
  std::vector<Target> targets = Targets();
  for (size_t n = 0; n < 4; ++n) Fail(&targets[n], 5);
  Fail(&targets[2], 1);
  EXPECT_EQ(UpdateEjection(&targets, kNow), 2);
  EXPECT_EQ(targets[2].health.state, HealthState::kEjected);
  EXPECT_EQ(UpdateEjection(&targets, kNow + 5 * kSecond), 0);
  targets.resize(4);
  for (Target& it : targets) it.health = {};
  Fail(&targets[0], 5);
  EXPECT_EQ(UpdateEjection(&targets, kNow), 0);
}

// Guards against ejecting for a fault that concerns all targets alike, which costs capacity and
// cures nothing.
TEST(EjectionTest, FaultOfAllTargetsEjectsNone) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) Fail(&it, 5);
  EXPECT_EQ(UpdateEjection(&targets, kNow), 0);
}

// Guards against a target that hangs on most requests and stays in use, and against ejecting for
// few answers.
TEST(EjectionTest, MuchSlowerTargetIsEjected) {
  std::vector<Target> targets = Targets();
  targets[3].latency = 51 * kMs;
  targets[3].samples = 9;
  EXPECT_EQ(UpdateEjection(&targets, kNow), 0);
  targets[3].samples = 10;
  EXPECT_EQ(UpdateEjection(&targets, kNow), 1);
  EXPECT_EQ(targets[3].health.state, HealthState::kEjected);
}

}  // namespace
}  // namespace pomelopond::routing
