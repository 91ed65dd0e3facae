#include "routing/target_set.h"

#include <gtest/gtest.h>

namespace pomelopond::routing {
namespace {

using membership::HostState;

membership::HostList ListOf(HostState state, int64_t version) {
  membership::HostInfo host;
  host.id = "h";
  host.state = state;
  host.targets = {{"svc", {"127.0.0.1", 1}, 8, 64}};
  membership::HostList list;
  list.version = version;
  list.hosts["h"] = host;
  return list;
}

struct TargetSetTest : testing::Test {
  void Update(HostState state) { set = UpdateTargets(set, ListOf(state, ++version), "e", {"e"}); }

  Target* target() { return FindTarget(&set, "svc", {"127.0.0.1", 1}); }

  TargetSet set;
  int64_t version = 0;
};

// Guards against a lagging list that undoes the target's own word, also when nothing is in flight.
TEST_F(TargetSetTest, OwnWordHoldsWhileTheListStillSaysLive) {
  Update(HostState::kLive);
  target()->leaving = target()->said_leaving = true;
  for (int n = 0; n < 3; ++n) {
    Update(HostState::kLive);
    ASSERT_NE(target(), nullptr);
    EXPECT_TRUE(target()->leaving);
  }
}

// Guards against a target that is never used again after it has left and come back.
TEST_F(TargetSetTest, TargetReturnsAfterTheListHasSaidLeaving) {
  Update(HostState::kLive);
  target()->leaving = target()->said_leaving = true;
  target()->in_flight = 1;
  Update(HostState::kLeaving);
  EXPECT_TRUE(target()->leaving);
  Update(HostState::kLive);
  EXPECT_FALSE(target()->leaving);
}

}  // namespace
}  // namespace pomelopond::routing
