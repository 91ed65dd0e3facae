// Ends of runs that a worker is told to forget. Until then it lists them to each owner, so what
// they tell must be stored before: the next owner knows nothing else.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"
#include "tests/dispatch/stored_end.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kJob = "00000000000000aa";
constexpr int kSeeds = 300;
constexpr int kEvents = 30;

// An owner, its store and two workers, each of which runs half of the tasks of one job. Reports,
// commits and their answers come in an order that the seed draws.
class ForgottenEnds {
 public:
  ForgottenEnds(const jobs::Job& job, uint64_t seed) : job_(job), random_(seed) {
    it_.AddWorkers({MakeWorker("w1", kCores * 1000), MakeWorker("w2", kCores * 1000)});
    it_.dispatcher.AddJob(job, {}, false);
    it_.Advance(milliseconds(100));
    it_.Decide();
    it_.ConfirmStarts();
    it_.CommitAll();
    for (const StartOrder& start : it_.orders.starts) active_[start.to.worker].push_back(start.run);
    AnswerHeartbeats();
  }

  size_t runs() const { return active_.at("w1").size() + active_.at("w2").size(); }

  // Returns a description of the first end that was forgotten too early; empty: none.
  std::string Play(EndKind first_end) {
    next_end_ = first_end;
    for (int n = 0; n < kEvents && fault_.empty(); ++n) PlayEvent();
    return fault_;
  }

 private:
  static constexpr int64_t kCores = 2;

  int Draw(int high) { return std::uniform_int_distribution<>(0, high)(random_); }
  std::string DrawWorker() { return Draw(1) == 0 ? "w1" : "w2"; }

  void PlayEvent() {
    switch (Draw(9)) {
      case 0:
      case 1:
      case 2:
        return EndRunOn(DrawWorker());
      case 3:
        return TakeCommit();
      case 4:
        return FinishCommit();
      case 5:
        return ForgetWorker(DrawWorker());
      default:
        return Exchange();
    }
  }

  void EndRunOn(const std::string& worker) {
    std::vector<RunId>& runs = active_[worker];
    if (runs.empty()) return;
    std::vector<EndedRun>& listed = listed_[worker];
    listed.push_back(End(++sequence_[worker], runs.back(), next_end_));
    next_end_ = EndKind::kDone;
    runs.pop_back();
  }

  void Exchange() {
    it_.Advance(milliseconds(600));
    it_.Decide();
    AnswerHeartbeats();
  }

  // The workers forget the ends that the heartbeats acknowledge, and report.
  void AnswerHeartbeats() {
    const std::vector<HeartbeatOrder> heartbeats = it_.orders.heartbeats;
    for (const HeartbeatOrder& heartbeat : heartbeats) {
      const std::string& worker = heartbeat.to.worker;
      std::vector<EndedRun>& listed = listed_[worker];
      while (!listed.empty() && listed.front().sequence <= heartbeat.acknowledged) {
        if (!IsStored(Stored(), listed.front(), job_.steps[0].gang))
          fault_ = "end of " + worker + " is forgotten, not stored";
        listed.erase(listed.begin());
      }
      std::vector<ActiveRun> active;
      for (const RunId& run : active_[worker]) active.push_back({run, "", 0, 0});
      it_.Report(worker, active, listed);
    }
  }

  void TakeCommit() {
    if (!commit_) commit_ = it_.dispatcher.NextCommit(it_.now, it_.WallMs());
  }

  void FinishCommit() {
    if (!commit_) return;
    for (const auto& [id, bytes] : commit_->progress) stored_ = bytes;
    it_.dispatcher.OnCommitted(*commit_);
    commit_.reset();
  }

  // The worker's registration is missing until its lease has ended, as in a long outage, so the
  // owner drops all that it knows of the worker.
  void ForgetWorker(const std::string& worker) {
    it_.dispatcher.DeregisterWorker(worker, it_.now);
    it_.Advance(seconds(9));
    it_.Decide();
    AnswerHeartbeats();
    it_.dispatcher.UpdateWorker(MakeWorker(worker, kCores * 1000), it_.now);
  }

  jobs::JobProgress Stored() const {
    return stored_.empty() ? jobs::JobProgress{} : jobs::DecodeProgress(stored_).value;
  }

  const jobs::Job job_;
  std::mt19937_64 random_;
  Scenario it_;
  std::string stored_;  // progress of the job
  std::optional<Commit> commit_;
  std::map<std::string, std::vector<RunId>> active_;     // by worker
  std::map<std::string, std::vector<EndedRun>> listed_;  // by worker
  std::map<std::string, int64_t> sequence_;              // of the last end, by worker
  EndKind next_end_ = EndKind::kDone;
  std::string fault_;
};

void PlaySeeds(const jobs::Job& job, EndKind first_end) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ForgottenEnds ends(job, seed);
    ASSERT_GT(ends.runs(), 1U);
    EXPECT_EQ(ends.Play(first_end), "") << "seed " << seed;
  }
}

jobs::Step GangStep() {
  jobs::Step step = MakeStep(2);
  step.gang = true;
  return step;
}

// Guards against an end that is forgotten because its job has failed, before the failure is stored:
// the next owner would run the task again.
TEST(AcknowledgedEndsTest, WaitForTheFailureOfTheirJob) {
  jobs::Job job = MakeJob(kJob, {MakeStep(2)});
  job.rules.max_attempts = 1;
  PlaySeeds(job, EndKind::kFailed);
}

// Guards against an end of a gang's member that is forgotten because the end of another one stands
// for it, before that is stored.
TEST(AcknowledgedEndsTest, WaitForTheEndThatStandsForAGang) {
  PlaySeeds(MakeJob(kJob, {GangStep()}), EndKind::kDone);
}

// Guards against the same where the occurrence of the gang is over while its job goes on.
TEST(AcknowledgedEndsTest, WaitForTheEndOfTheirOccurrence) {
  jobs::Job job = MakeJob(kJob, {GangStep()});
  job.occurrences = 2;
  job.first_ms = kWallStart - 1;
  job.interval_ms = 1;
  PlaySeeds(job, EndKind::kDone);
}

// Guards against an end that is forgotten because an owner that has dropped its worker and found it
// again has applied the end before, not yet stored.
TEST(AcknowledgedEndsTest, WaitForTheCompletionOfTheirJob) {
  PlaySeeds(MakeJob(kJob, {MakeStep(2)}), EndKind::kDone);
}

}  // namespace
}  // namespace pomelopond::dispatch
