#include "planning/release_jobs.h"

#include <gtest/gtest.h>

namespace pomelopond::planning {
namespace {

JobSpec Watch(const std::string& id, bool from_release) {
  JobSpec spec;
  spec.id = id;
  spec.kind = JobKind::kWatch;
  spec.team = "team";
  spec.need = {100, 10, 0};
  spec.from_release = from_release;
  return spec;
}

// Guards against a restart that accepts a watch twice or cancels a caller's job.
TEST(ReleaseJobsTest, OnlyMissingJobsAreAcceptedAndOnlyWithdrawnOnesCancelled) {
  ShardState state;
  for (const JobSpec& it :
       {Watch("kept", true), Watch("withdrawn", true), Watch("caller", false)}) {
    Apply(&state, AcceptEvent(it));
  }
  const ReleaseJobChanges changes =
      CompareWithRelease(state, {Watch("kept", true), Watch("new", true)});
  ASSERT_EQ(changes.accept.size(), 1u);
  EXPECT_EQ(changes.accept[0].id, "new");
  EXPECT_EQ(changes.cancel, std::vector<std::string>{"withdrawn"});
  Apply(&state, CancelEvent("withdrawn"));
  EXPECT_TRUE(CompareWithRelease(state, {Watch("kept", true)}).cancel.empty());
}

// Guards against a drain that stops attempts which the worker has not reported, or stops twice.
TEST(ReleaseJobsTest, DrainStopsRunningTasksOnce) {
  ShardState state;
  JobSpec spec = Watch("w", true);
  spec.count = 3;
  Apply(&state, AcceptEvent(spec));
  for (int n = 0; n < 3; ++n) {
    Event grant = TaskEvent(EventType::kGrant, TaskId("w", n), 1);
    grant.host = "h";
    Apply(&state, grant);
    if (n > 0) Apply(&state, TaskEvent(EventType::kRunning, TaskId("w", n), 1));
  }
  EXPECT_EQ(DrainHost(state, "h", 1).size(), 1u);
  const std::vector<Event> stops = DrainHost(state, "h", 10);
  EXPECT_EQ(stops.size(), 2u);
  for (const Event& it : stops) EXPECT_TRUE(Apply(&state, it));
  EXPECT_TRUE(DrainHost(state, "h", 10).empty());
  EXPECT_TRUE(DrainHost(state, "other", 10).empty());
}

}  // namespace
}  // namespace pomelopond::planning
