#include "jobs/job.h"

#include <gtest/gtest.h>

#include "base/result_code.h"
#include "jobs/catalog.h"
#include "jobs/progress.h"

namespace pomelopond::jobs {
namespace {

Job MakeFullJob() {
  Step step;
  step.replicas = 3;
  step.request = {1500, 256, 1};
  step.estimate_ms = 900;
  step.checkpoint = true;
  step.gang = true;
  step.same_rack = true;
  step.required_label = "a";
  step.preferred_rack = "r1-3";
  step.max_per_worker = 2;
  step.speculative = true;
  step.perpetual = true;
  step.image = "image";
  step.target_tail_ms = 150;
  step.best_effort = true;
  step.max_unavailable = 1;
  Step second;
  second.after = {0};
  Job job;
  job.id = "00000000000000aa";
  job.spec = "text";
  job.rules = {"queue", "pool", 2, 4, 1.5, 250};
  job.steps = {step, second};
  job.occurrences = 3;
  job.first_ms = 10;
  job.interval_ms = 20;
  job.accepted_ms = 30;
  return job;
}

// Guards against fields that a new owner reads back with other values.
TEST(JobTest, StoredFormKeepsEveryMember) {
  const Result<Job> read = DecodeJob(Encode(MakeFullJob()));
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read.value, MakeFullJob());
}

TEST(JobTest, ForeignBytesAreAnError) {
  EXPECT_EQ(DecodeJob("not a job").ec, ResultCode::kStoreBadAnswer);
  EXPECT_EQ(DecodeJob("").ec, ResultCode::kStoreBadAnswer);
  EXPECT_EQ(DecodeProgress("\xc1").ec, ResultCode::kStoreBadAnswer);
}

TEST(JobTest, StepsMayWaitForEarlierStepsOnly) {
  Job job = MakeFullJob();
  EXPECT_EQ(ValidationError(job), "");
  job.steps[1].after = {1};
  EXPECT_NE(ValidationError(job), "");
  job.steps[1].after = {-1};
  EXPECT_NE(ValidationError(job), "");
  job.steps.clear();
  EXPECT_NE(ValidationError(job), "");
}

TEST(JobTest, AmountsAreChecked) {
  Job job = MakeFullJob();
  job.steps[0].replicas = 0;
  EXPECT_NE(ValidationError(job), "");
  job = MakeFullJob();
  job.steps[0].request.memory_mb = -1;
  EXPECT_NE(ValidationError(job), "");
}

// Guards against a single job whose tasks exhaust the owner's memory.
TEST(JobTest, TasksOfAllStepsTogetherAreBounded) {
  Job job = MakeFullJob();
  job.steps.assign(5, Step{});
  for (Step& it : job.steps) it.replicas = 10000;
  EXPECT_EQ(ValidationError(job), "");
  job.steps.push_back(Step{});
  EXPECT_EQ(ValidationError(job), "there are more than 50000 tasks");
  EXPECT_FALSE(DecodeJob(Encode(job)).ok());
}

TEST(ProgressTest, StoredFormKeepsEveryMember) {
  JobProgress progress;
  progress.state = JobState::kRunning;
  progress.begun = 5;
  progress.open = {0, 3, 4};
  progress.tasks[{0, 1, 2}] = {true, {}, "", 0};
  progress.tasks[{0, 1, 9}] = {true, {}, "", 0};
  progress.tasks[{3, 0, 0}] = {false, {3, 100002}, "c1", 100003};
  const Result<JobProgress> read = DecodeProgress(Encode(progress));
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(read.value, progress);
}

// Guards against routing a request to a queue of another host or of a shorter prefix.
TEST(CatalogTest, LongestPrefixOfTheHostWins) {
  Catalog catalog;
  catalog.queues = {{"h", "/a/", {}}, {"h", "/a/b/", {}}, {"other", "/a/b/c/", {}}};
  EXPECT_EQ(FindQueue(catalog, "h", "/a/b/c/1"), &catalog.queues[1]);
  EXPECT_EQ(FindQueue(catalog, "h", "/a/1"), &catalog.queues[0]);
  EXPECT_EQ(FindQueue(catalog, "h", "/b/1"), nullptr);
  EXPECT_EQ(FindQueue(catalog, "none", "/a/1"), nullptr);
}

}  // namespace
}  // namespace pomelopond::jobs
