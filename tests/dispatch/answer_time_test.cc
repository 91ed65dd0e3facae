#include "dispatch/answer_time.h"

#include <gtest/gtest.h>

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr int kAnswers = 1000;

// Guards against an estimate that follows the workers that answer late.
TEST(AnswerTimeTest, LateAnswersOfHalfTheWorkersHardlyChangeIt) {
  Duration estimate = milliseconds(250);
  for (int n = 0; n < kAnswers; ++n) {
    estimate = UpdateLowerQuartile(estimate, milliseconds(n % 2 == 0 ? 20 : 900));
  }
  EXPECT_LT(estimate, milliseconds(30));
}

// Guards against an estimate that stays low while this host answers late.
TEST(AnswerTimeTest, FollowsTheAnswersThatAreAllLate) {
  Duration estimate = milliseconds(20);
  for (int n = 0; n < kAnswers; ++n) estimate = UpdateLowerQuartile(estimate, milliseconds(200));
  EXPECT_GT(estimate, milliseconds(180));
}

}  // namespace
}  // namespace pomelopond::dispatch
