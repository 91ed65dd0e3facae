#include "planning/release_jobs.h"

#include <gtest/gtest.h>

namespace pomelopond::planning {
namespace {

JobSpec Watch(const std::string& id, int64_t release_version) {
  JobSpec spec;
  spec.id = id;
  spec.kind = JobKind::kWatch;
  spec.team = "team";
  spec.need = {100, 10, 0};
  spec.release_version = release_version;
  return spec;
}

// Guards against a restarted process that accepts a watch twice or cancels a caller's job, and
// against a process with an older release that cancels a job added by a newer one.
TEST(ReleaseJobsTest, OnlyMissingJobsAreAcceptedAndOnlyWithdrawnOnesCancelled) {
  ShardState state;
  for (const JobSpec& it :
       {Watch("kept", 1), Watch("withdrawn", 1), Watch("newer", 3), Watch("caller", 0)}) {
    Apply(&state, AcceptEvent(it));
  }
  const ReleaseJobChanges changes =
      CompareWithRelease(state, {Watch("kept", 2), Watch("new", 2)}, 2);
  ASSERT_EQ(changes.accept.size(), 1u);
  EXPECT_EQ(changes.accept[0].id, "new");
  EXPECT_EQ(changes.cancel, std::vector<std::string>{"withdrawn"});
  Apply(&state, CancelEvent("withdrawn"));
  EXPECT_TRUE(CompareWithRelease(state, {Watch("kept", 2)}, 2).cancel.empty());
}

// Guards against a drain that stops attempts which the worker has not reported yet, or stops an
// attempt twice.
TEST(ReleaseJobsTest, DrainStopsRunningTasksOnce) {
  ShardState state;
  JobSpec spec = Watch("w", 1);
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
