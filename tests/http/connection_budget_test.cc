#include "http/internal/connection_budget.h"

#include <gtest/gtest.h>

namespace pomelopond::http {
namespace {

using std::chrono::seconds;

const TimePoint kNow = TimePoint() + seconds(1000);

ConnectionState State(Phase phase, Duration age, int64_t charged = 0) {
  return {phase, kNow - age, kNow - age, charged};
}

// Guards against a timeout that counts from the wrong event, and against one that cuts off the
// handler.
TEST(ConnectionBudgetTest, EachPhaseHasItsTimeout) {
  ServerLimits limits;
  ConnectionState body = State(Phase::kBody, seconds(8));
  EXPECT_EQ(ExpiryOf(body, limits)->at, kNow - seconds(8) + limits.stall_timeout);
  body.progress_at = kNow;
  EXPECT_EQ(ExpiryOf(body, limits)->at, kNow + limits.stall_timeout);
  body.since = kNow - limits.body_timeout;
  EXPECT_EQ(ExpiryOf(body, limits)->at, kNow);
  // Progress does not extend the time of a header or of a response.
  for (const Phase it : {Phase::kHeader, Phase::kWriting}) {
    ConnectionState state = State(it, seconds(100));
    state.progress_at = kNow;
    EXPECT_LT(ExpiryOf(state, limits)->at, kNow);
  }
  EXPECT_EQ(ExpiryOf(State(Phase::kIdle, {}), limits)->cause, CloseCause::kIdleTimeout);
  EXPECT_FALSE(ExpiryOf(State(Phase::kHandling, seconds(1000)), limits));
  EXPECT_FALSE(ExpiryOf(State(Phase::kLingering, seconds(9)), limits)->cause);
}

// Guards against closing connections that make progress, hold nothing or wait for the handler.
TEST(ConnectionBudgetTest, BytesAreFreedWhereProgressIsMissingForLongest) {
  const std::vector<ConnectionState> oldest = {
      State(Phase::kIdle, seconds(50)), State(Phase::kHeader, seconds(5), 10),
      State(Phase::kBody, seconds(6), 10), State(Phase::kHandling, seconds(60), 10),
      State(Phase::kWriting, seconds(4), 10)};
  EXPECT_EQ(ChooseToFreeBytes(oldest, kNow), 2u);
  EXPECT_FALSE(ChooseToFreeBytes({State(Phase::kBody, std::chrono::milliseconds(900), 10)}, kNow));
  EXPECT_FALSE(ChooseToFreeBytes({State(Phase::kHeader, seconds(9))}, kNow));
}

// Guards against closing a request in progress while another connection is idle.
TEST(ConnectionBudgetTest, IdleConnectionsAreClosedFirst) {
  const ConnectionState body = State(Phase::kBody, seconds(6), 10);
  EXPECT_EQ(ChooseToFreeConnection({State(Phase::kIdle, seconds(1)), body}, kNow), 0u);
  EXPECT_EQ(ChooseToFreeConnection({State(Phase::kHandling, seconds(9)), body}, kNow), 1u);
  EXPECT_FALSE(ChooseToFreeConnection({State(Phase::kHandling, seconds(9))}, kNow));
}

// Guards against a limit of the body that the budget could never take.
TEST(ConnectionBudgetTest, LargestBodyFitsTheBudget) {
  ServerLimits limits;
  EXPECT_EQ(MaxBodyBytes(limits), limits.max_body_bytes);
  limits.budget_bytes = 100000;
  const int64_t most = MaxBodyBytes(limits);
  EXPECT_GT(most, 0);
  EXPECT_LE(RequestCost(limits.max_header_bytes, limits.max_header_fields, most),
            limits.budget_bytes);
  EXPECT_LE(RequestCost(limits.max_header_bytes, limits.max_header_fields, most),
            RoomFor(limits.budget_bytes, limits));
  EXPECT_EQ(RoomFor(5000, limits), limits.budget_bytes);
  limits.budget_bytes = 1;
  EXPECT_EQ(MaxBodyBytes(limits), 0);
}

// Guards against addresses that together take more than the process has.
TEST(ConnectionBudgetTest, AddressesShareMemoryAndDescriptors) {
  const ProcessLimits limits = DivideLimits({}, int64_t{160} << 20, 4100);
  EXPECT_EQ(limits.callers.budget_bytes + 2 * limits.probes.budget_bytes, int64_t{20} << 20);
  EXPECT_EQ(limits.callers.max_connections + 2 * limits.probes.max_connections, 650);
  EXPECT_EQ(limits.probes.max_connections, 81);
  EXPECT_EQ(MaxBodyBytes(limits.callers), 262144);
  EXPECT_GT(MaxBodyBytes(limits.probes), 0);
  const ProcessLimits few = DivideLimits({}, 0, 210);
  EXPECT_GT(few.callers.max_connections, 0);
  EXPECT_GT(few.callers.budget_bytes, 0);
}

}  // namespace
}  // namespace pomelopond::http
