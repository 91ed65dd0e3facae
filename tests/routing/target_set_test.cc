#include "routing/target_set.h"

#include <gtest/gtest.h>

namespace pomelopond::routing {
namespace {

const Endpoint kEndpoint{"127.0.0.1", 7600};

membership::HostList List(int64_t version, membership::HostState state) {
  membership::HostInfo host;
  host.id = "host-1";
  host.failure_domain = "a";
  host.state = state;
  host.targets.push_back({"quotes", kEndpoint, 8, 64});
  return {version, {{host.id, host}}};
}

TargetSet Update(const TargetSet& current, const membership::HostList& list) {
  return UpdateTargets(current, list, "entry-1", {"entry-1", "entry-2"});
}

TargetSet LiveSet() { return Update({}, List(1, membership::HostState::kLive)); }

// Guards against new requests to a target that has announced that it is leaving, after a host list
// that does not yet show this.
TEST(TargetSetTest, AnnouncedLeavingOutlastsALaggingList) {
  TargetSet targets = LiveSet();
  MarkAnnouncedLeaving(FindTarget(&targets, "quotes", kEndpoint));
  for (int64_t version = 1; version <= 3; ++version) {
    targets = Update(targets, List(version, membership::HostState::kLive));
    const Target* target = FindTarget(&targets, "quotes", kEndpoint);
    ASSERT_NE(target, nullptr);
    EXPECT_TRUE(target->leaving);
  }
}

// Guards against a host that stays unused after it has become live again.
TEST(TargetSetTest, AnnouncementEndsWhenTheListShowsLeavingAndThenLive) {
  for (const int64_t in_flight : {0, 1}) {
    TargetSet targets = LiveSet();
    FindTarget(&targets, "quotes", kEndpoint)->in_flight = in_flight;
    MarkAnnouncedLeaving(FindTarget(&targets, "quotes", kEndpoint));
    targets = Update(targets, List(2, membership::HostState::kLeaving));
    Target* target = FindTarget(&targets, "quotes", kEndpoint);
    if (in_flight > 0) {
      ASSERT_NE(target, nullptr);
      EXPECT_TRUE(target->leaving);
      // The last answers of the target still carry the header that announces leaving.
      MarkAnnouncedLeaving(target);
    } else {
      EXPECT_EQ(target, nullptr);
    }
    targets = Update(targets, List(3, membership::HostState::kLive));
    ASSERT_NE(FindTarget(&targets, "quotes", kEndpoint), nullptr);
    EXPECT_FALSE(FindTarget(&targets, "quotes", kEndpoint)->leaving);
  }
}

// Guards against a host that stays unusable after it was removed from the list and added again.
TEST(TargetSetTest, AnnouncementEndsWhenTheHostWasAbsent) {
  TargetSet targets = LiveSet();
  MarkAnnouncedLeaving(FindTarget(&targets, "quotes", kEndpoint));
  targets = Update(targets, {2, {}});
  EXPECT_EQ(FindTarget(&targets, "quotes", kEndpoint), nullptr);
  targets = Update(targets, List(3, membership::HostState::kLive));
  EXPECT_FALSE(FindTarget(&targets, "quotes", kEndpoint)->leaving);
}

// Guards against losing the counts of requests in flight, which would let the router exceed the
// slots of the target.
TEST(TargetSetTest, CountsOfKnownTargetsAreKept) {
  TargetSet targets = LiveSet();
  EXPECT_EQ(FindTarget(&targets, "quotes", kEndpoint)->slot_share, 4);
  FindTarget(&targets, "quotes", kEndpoint)->in_flight = 3;
  targets = Update(targets, List(2, membership::HostState::kLeaving));
  EXPECT_EQ(FindTarget(&targets, "quotes", kEndpoint)->in_flight, 3);
}

}  // namespace
}  // namespace pomelopond::routing
