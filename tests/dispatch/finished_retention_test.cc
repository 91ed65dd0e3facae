// How long the records of finished jobs stay, for callers that ask for their state.
#include <gtest/gtest.h>

#include <optional>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr int64_t kOutageMs = 600000;

// Guards against a final state that no caller can see: an outage of the store lasts longer than the
// retention, and the commit after the one with the state deletes it.
TEST(FinishedRetentionTest, RunsFromTheCommitOfTheFinalState) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
  it.Advance(std::chrono::milliseconds(100));
  it.Decide();
  ASSERT_EQ(it.orders.starts.size(), 1U);
  it.ConfirmStarts();
  it.CommitAll();
  it.Report("w1", {}, {End(1, it.orders.starts[0].run, EndKind::kDone)});
  const int64_t ended_ms = it.WallMs();
  const std::optional<Commit> final_state = it.dispatcher.NextCommit(it.now, ended_ms);
  ASSERT_TRUE(final_state && final_state->progress.size() == 1);

  it.Advance(std::chrono::milliseconds(kOutageMs));
  it.dispatcher.OnCommitted(*final_state);
  const int64_t keep_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(DispatchLimits().finished_retention)
          .count();
  const auto removes_at = [&it](int64_t wall_ms) {
    const std::optional<Commit> commit = it.dispatcher.NextCommit(it.now, wall_ms);
    if (!commit) return false;
    it.dispatcher.OnCommitted(*commit);
    return !commit->removed_jobs.empty();
  };
  EXPECT_FALSE(removes_at(ended_ms + kOutageMs));
  EXPECT_FALSE(removes_at(ended_ms + kOutageMs + keep_ms - 1));
  EXPECT_TRUE(removes_at(ended_ms + kOutageMs + keep_ms));
}

}  // namespace
}  // namespace pomelopond::dispatch
