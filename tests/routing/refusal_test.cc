#include "routing/refusal.h"

#include <gtest/gtest.h>

namespace pomelopond::routing {
namespace {

// Guards against the wrong answer "not run" to a request whose first attempt reached a target and
// whose retry was refused, expired in the queue or found its target unreachable.
TEST(RefusalTest, RequestThatMayHaveRunIsNeverAnsweredNotRun) {
  for (const ResultCode code : AllResultCodes()) {
    if (code == ResultCode::kOk) continue;
    EXPECT_EQ(OutcomeOf(FinalCode(code, true)), Outcome::kUnknown) << ResultName(code);
    EXPECT_EQ(FinalCode(code, false), code);
  }
}

}  // namespace
}  // namespace pomelopond::routing
