#include "entry/job_service.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <thread>

#include "dispatch/waiting_counts.h"
#include "entry/keys.h"
#include "tests/entry/memory_store.h"

namespace pomelopond::entry {
namespace {

constexpr const char* kId = "00000000000000aa";

jobs::Job MakeJob() {
  jobs::Job job;
  job.id = kId;
  job.steps.resize(1);
  return job;
}

class JobServiceTest : public ::testing::Test {
 protected:
  JobServiceTest()
      : service(
            {}, &store,
            [this](Duration delay, const std::function<void()>& work) {
              timers.emplace_back(delay, work);
            },
            &metrics, &health, &revisions) {}

  // Waits for each timer that the service has set and runs its function.
  void RunTimers() {
    while (!timers.empty()) {
      const auto [delay, work] = timers.front();
      timers.pop_front();
      std::this_thread::sleep_for(delay);
      work();
    }
  }

  std::optional<std::error_code> Submit() {
    std::optional<std::error_code> result;
    service.Submit(MakeJob(), Now() + std::chrono::seconds(3),
                   [&result](std::error_code ec) { result = ec; });
    RunTimers();
    return result;
  }

  std::optional<std::error_code> Cancel() {
    std::optional<std::error_code> result;
    service.Cancel(kId, Now() + std::chrono::seconds(3),
                   [&result](std::error_code ec) { result = ec; });
    RunTimers();
    return result;
  }

  Result<jobs::JobState> State() {
    Result<jobs::JobState> result{ResultCode::kInternal, {}};
    service.GetState(kId, Now() + std::chrono::seconds(3),
                     [&result](const Result<jobs::JobState>& it) { result = it; });
    RunTimers();
    return result;
  }

  Result<int> Count(const std::string& queue) {
    Result<int> result{ResultCode::kInternal, {}};
    service.CountWaiting(queue, Now() + std::chrono::seconds(3),
                         [&result](const Result<int>& it) { result = it; });
    RunTimers();
    return result;
  }

  void WriteCounts(const dispatch::WaitingCounts& counts) {
    store.Apply({{}, {{kWaitingKey, Encode(counts), 0}}, {}});
  }

  MemoryStore store;
  std::deque<std::pair<Duration, std::function<void()>>> timers;
  metrics::Registry metrics;
  StoreHealth health;
  RevisionHistory revisions;
  JobService service;
};

TEST_F(JobServiceTest, AcceptedJobIsDurable) {
  EXPECT_EQ(Submit(), std::error_code());
  EXPECT_EQ(store.items.count(JobKey(kId)), 1U);
  EXPECT_EQ(State().value, jobs::JobState::kPending);
}

// Guards against a job that another host accepts a second time, or that is accepted again with
// other content.
TEST_F(JobServiceTest, RepeatedAcceptanceKeepsTheFirst) {
  EXPECT_EQ(Submit(), std::error_code());
  const store::Item first = store.items[JobKey(kId)];
  EXPECT_EQ(Submit(), std::error_code());
  EXPECT_EQ(store.items[JobKey(kId)], first);
}

// Guards against a refusal although the write took effect. The job would run nevertheless.
TEST_F(JobServiceTest, LostAnswerIsResolvedByAskingAgain) {
  store.commit_behaviors = {CommitBehavior::kAppliedUnanswered};
  EXPECT_EQ(Submit(), std::error_code());
}

// Guards against reporting a job as not accepted while an earlier attempt may still take effect.
TEST_F(JobServiceTest, RefusalAfterALostAnswerIsUnknown) {
  store.commit_behaviors = {CommitBehavior::kAppliedLate};
  store.commit_behaviors.resize(100000, CommitBehavior::kRefused);
  EXPECT_EQ(Submit(), std::error_code(ResultCode::kOutcomeUnknown));
  store.ApplyDelayedCommits();
  EXPECT_EQ(store.items.count(JobKey(kId)), 1U);
}

TEST_F(JobServiceTest, RefusedByTheStoreIsNotAccepted) {
  store.unavailable = true;
  EXPECT_EQ(Submit(), std::error_code(ResultCode::kStoreUnavailable));
  store.unavailable = false;
  EXPECT_TRUE(store.items.empty());
}

// Guards against callers that are held until their deadline while the store is known to be
// unavailable.
TEST_F(JobServiceTest, RequestsAreRefusedAtOnceWhileTheStoreIsAway) {
  store.unavailable = true;
  EXPECT_EQ(Submit(), std::error_code(ResultCode::kStoreUnavailable));
  EXPECT_FALSE(health.IsAvailable());
  const TimePoint now = Now();
  health.AllowRequest(now);
  EXPECT_FALSE(health.AllowRequest(now));
  const int calls = store.calls;
  EXPECT_EQ(State().ec, ResultCode::kStoreUnavailable);
  EXPECT_EQ(store.calls, calls);
  health.OnSuccess();
  EXPECT_TRUE(health.AllowRequest(now));
}

TEST_F(JobServiceTest, CancelledJobIsShownAsCancelled) {
  Submit();
  EXPECT_EQ(Cancel(), std::error_code());
  EXPECT_EQ(Cancel(), std::error_code());
  EXPECT_EQ(State().value, jobs::JobState::kCancelled);
}

TEST_F(JobServiceTest, UnknownJobThatIsCancelledStaysUnknown) {
  EXPECT_EQ(Cancel(), std::error_code(ResultCode::kNotFound));
  EXPECT_EQ(Cancel(), std::error_code(ResultCode::kNotFound));
  EXPECT_EQ(Submit(), std::error_code(ResultCode::kCancelled));
  EXPECT_EQ(State().ec, ResultCode::kNotFound);
}

// Guards against reporting a job as unknown because the store cannot be read.
TEST_F(JobServiceTest, UnreadableStoreIsNotAnUnknownJob) {
  Submit();
  store.unavailable = true;
  EXPECT_EQ(State().ec, ResultCode::kStoreUnavailable);
  store.unavailable = false;
  health.OnSuccess();
  EXPECT_EQ(State().value, jobs::JobState::kPending);
}

TEST_F(JobServiceTest, ProgressOfTheOwnerIsShown) {
  Submit();
  jobs::JobProgress progress;
  progress.state = jobs::JobState::kCompleted;
  store.Apply({{}, {{ProgressKey(kId), jobs::Encode(progress), 0}}, {}});
  EXPECT_EQ(State().value, jobs::JobState::kCompleted);
}

TEST_F(JobServiceTest, WaitingCountsAreTheOwners) {
  revisions.Record(Now(), store.revision);
  WriteCounts({store.revision, {{"queue", 3}}, 0, {}});
  EXPECT_EQ(Count("queue").value, 3);
  EXPECT_EQ(Count("other").value, 0);
}

// Guards against a count that is given although the jobs accepted since are not in it.
TEST_F(JobServiceTest, CountsOlderThanTheirLimitAreRefused) {
  WriteCounts({store.revision, {{"queue", 3}}, 0, {}});
  revisions.Record(Now() - std::chrono::seconds(3), store.revision);
  Submit();
  revisions.Record(Now() - std::chrono::seconds(1), store.revision);
  EXPECT_EQ(Count("queue").ec, ResultCode::kOutdated);
}

// Guards against a count of 0 before any owner has counted.
TEST_F(JobServiceTest, CountsThatNoOwnerHasWrittenAreRefused) {
  revisions.Record(Now(), store.revision);
  EXPECT_EQ(Count("queue").ec, ResultCode::kOutdated);
}

// Guards against a refusal because the count was read just before the owner renewed it.
TEST_F(JobServiceTest, OutdatedCountsAreReadAgain) {
  WriteCounts({store.revision, {{"queue", 3}}, 0, {}});
  Submit();
  revisions.Record(Now(), store.revision);
  Result<int> result{ResultCode::kInternal, {}};
  service.CountWaiting("queue", Now() + std::chrono::seconds(3),
                       [&result](const Result<int>& it) { result = it; });
  EXPECT_EQ(timers.size(), 1U);
  WriteCounts({store.revision, {{"queue", 4}}, 0, {}});
  RunTimers();
  EXPECT_EQ(result.value, 4);
}

}  // namespace
}  // namespace pomelopond::entry
