#include "routing/ejection.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "routing/target_choice.h"

namespace pomelopond::routing {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};
constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);

// Returns ten healthy targets that answer in 10 ms, with four slots each.
std::vector<Target> Targets() {
  std::vector<Target> targets(10);
  for (Target& it : targets) {
    it.slot_share = 4;
    it.latency = 10 * kMs;
    it.samples = 100;
    it.last_sent = kNow;
    it.last_answer = kNow;
  }
  return targets;
}

void Fail(Target* target, int times) {
  for (int n = 0; n < times; ++n) RecordResult(target, true, kNow);
}

// Guards against sending requests to a target that fails all of them.
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
  for (int n = 0; n < 2; ++n) RecordResult(&targets[0], false, kNow + 5 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kProbation);
  RecordResult(&targets[0], false, kNow + 5 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kHealthy);
}

// Guards against a broken target that fails a request every 5 s forever.
TEST(EjectionTest, FailedProbeEjectsForLonger) {
  std::vector<Target> targets = Targets();
  Fail(&targets[0], 5);
  UpdateEjection(&targets, kNow);
  UpdateEjection(&targets, kNow + 5 * kSecond);
  RecordResult(&targets[0], true, kNow + 5 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kEjected);
  UpdateEjection(&targets, kNow + 14 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kEjected);
  UpdateEjection(&targets, kNow + 15 * kSecond);
  EXPECT_EQ(targets[0].health.state, HealthState::kProbation);
}

// Guards against a fault of many targets that ejects so many of them that the rest cannot carry the
// load.
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

// Guards against too few targets in use after others have left: targets ejected before must return
// to use.
TEST(EjectionTest, EjectedTargetsComeBackWhenOthersLeave) {
  std::vector<Target> targets = Targets();
  Fail(&targets[0], 5);
  Fail(&targets[1], 6);
  ASSERT_EQ(UpdateEjection(&targets, kNow), 2);
  for (size_t n = 5; n < targets.size(); ++n) targets[n].leaving = true;
  EXPECT_EQ(UpdateEjection(&targets, kNow + kSecond), 0);
  const int healthy = (targets[0].health.state == HealthState::kHealthy ? 1 : 0) +
                      (targets[1].health.state == HealthState::kHealthy ? 1 : 0);
  EXPECT_EQ(healthy, 1);
}

// Guards against sequences of results, departures and updates that eject more than a fifth of the
// targets, send a target more requests than its share, or send requests to a target that is leaving
// or ejected.
TEST(EjectionTest, BoundsHoldForAnyEvents) {
  EXPECT_TRUE(rc::check([](const std::vector<uint16_t>& steps) {
    std::vector<Target> targets = Targets();
    TimePoint now = kNow;
    for (const uint16_t step : steps) {
      Target& target = targets[step / 8 % targets.size()];
      switch (step % 8) {
        case 0:
          target.leaving = !target.leaving;
          break;
        case 1:
          now += 3 * kSecond;
          break;
        case 2:
        case 3:
          Fail(&target, 5);
          break;
        case 4:
          RecordResult(&target, false, now);
          RecordLatency(&target, (1 + step % 100) * kMs, now);
          target.in_flight = std::max<int64_t>(target.in_flight - 1, 0);
          break;
        default: {
          const int n = ChooseTarget(targets, "", step % 50, now, (step % 100) / 100.0);
          if (n < 0) break;
          Target& chosen = targets[static_cast<size_t>(n)];
          RC_ASSERT(!chosen.leaving);
          RC_ASSERT(chosen.health.state != HealthState::kEjected);
          RC_ASSERT(chosen.in_flight <
                    (chosen.health.state == HealthState::kProbation ? 1 : chosen.slot_share));
          chosen.in_flight += 1;
        }
      }
      UpdateEjection(&targets, now);
      size_t present = 0;
      size_t unavailable = 0;
      for (const Target& it : targets) {
        if (it.leaving) continue;
        present += 1;
        if (it.health.state != HealthState::kHealthy) unavailable += 1;
      }
      RC_ASSERT(unavailable * 5 <= present);
    }
  }));
}

// Guards against ejecting targets for a fault that affects all targets alike, which costs capacity
// without avoiding the fault.
TEST(EjectionTest, FaultOfAllTargetsEjectsNone) {
  std::vector<Target> targets = Targets();
  for (Target& it : targets) Fail(&it, 5);
  EXPECT_EQ(UpdateEjection(&targets, kNow), 0);
}

// Guards against continued use of a target that hangs on most requests, and against an ejection
// that is based on too few answers.
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
