#include "planning/shard_state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "planning/placement.h"
#include "tests/planning/make_job.h"

namespace pomelopond::planning {
namespace {

// Returns a random event, which may or may not fit the state.
Event AnyEvent(const std::vector<PlacementHost>& hosts, const ShardState& state) {
  const auto type = static_cast<EventType>(*rc::gen::inRange(0, 8));
  const std::string job = "job-" + std::to_string(*rc::gen::inRange(0, 5));
  if (type == EventType::kAccept) return AcceptEvent(MakeJob(job, 3, {1000, 100, 0}));
  if (type == EventType::kCancel) return CancelEvent(job);
  if (type == EventType::kGrant) {
    const std::vector<Event> grants = PlaceTasks(state, hosts, 1);
    if (!grants.empty()) return grants.front();
  }
  Event event = TaskEvent(type, TaskId(job, *rc::gen::inRange(0, 3)), *rc::gen::inRange(0, 4));
  event.host = hosts.front().id;
  event.checkpoint = *rc::gen::inRange(0, 9);
  if (type == EventType::kGrant) event.attempt = 1000;  // never the next attempt; has no effect
  return event;
}

// Guards against grants above a host's capacity, and against a state that cannot be rebuilt from
// its journal or from a snapshot.
TEST(ShardStateTest, CapacityAndReplayHoldForAnyEvents) {
  const std::vector<PlacementHost> hosts = {{"w1", {2000, 1000, 0}, true, "r", "fd", false},
                                            {"w2", {3000, 250, 0}, true, "r", "fd", false}};
  ASSERT_TRUE(rc::check("capacity and replay", [&hosts] {
    ShardState state;
    std::vector<std::string> records;
    const int count = *rc::gen::inRange(0, 60);
    for (int n = 0; n < count; ++n) {
      const Event event = AnyEvent(hosts, state);
      records.push_back(EncodeEvents({event}));
      Apply(&state, event);
      for (const PlacementHost& it : hosts) RC_ASSERT(Fits(GrantedOn(state, it.id), it.capacity));
    }
    RC_ASSERT(Rebuild("", records).value == state);
    RC_ASSERT(DecodeSnapshot(EncodeSnapshot(state)).value == state);
  }));
}

// Guards against resuming an evicted task from an older checkpoint than the one it reached.
TEST(ShardStateTest, EvictedTaskResumesFromItsCheckpointWithANewAttempt) {
  ShardState state;
  Apply(&state, AcceptEvent(MakeJob("job", 1, {1000, 100, 0})));
  Event event = TaskEvent(EventType::kGrant, "job/0", 1);
  event.host = "w1";
  ASSERT_TRUE(Apply(&state, event));
  ASSERT_TRUE(Apply(&state, TaskEvent(EventType::kStop, "job/0", 1)));
  EXPECT_EQ(GrantedOn(state, "w1"), (Resources{1000, 100, 0}));
  event = TaskEvent(EventType::kStopped, "job/0", 1);
  event.checkpoint = 5;
  ASSERT_TRUE(Apply(&state, event));
  EXPECT_EQ(GrantedOn(state, "w1"), Resources{});
  EXPECT_EQ(state.tasks.at("job/0").checkpoint, 5);
  EXPECT_FALSE(Apply(&state, event));
  event = TaskEvent(EventType::kGrant, "job/0", 2);
  event.host = "w2";
  EXPECT_TRUE(Apply(&state, event));
  EXPECT_FALSE(Apply(&state, TaskEvent(EventType::kFinished, "job/0", 1)));
}

}  // namespace
}  // namespace pomelopond::planning
