// Tasks that fail wherever they run, and the tasks of other jobs beside them.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A task for which there is room starts within this time.
constexpr Duration kStartBound = seconds(3);
constexpr Duration kStep = milliseconds(50);
std::string IdOf(int n) {
  const std::string digits = std::to_string(n);
  return std::string(16 - digits.size(), '0') + digits;
}

constexpr const char* kFailing = "00000000000000aa";
constexpr const char* kOther = "00000000000000bb";

// Workers on which the runs of some jobs fail after some time, and those of others are done after
// some time or go on.
class FailingTaskTest : public ::testing::Test {
 protected:
  FailingTaskTest() { fails_after[kFailing] = milliseconds(100); }

  void AddWorkers(int n) {
    std::vector<WorkerInfo> infos;
    for (int k = 1; k <= n; ++k) infos.push_back(MakeWorker("w" + std::to_string(k)));
    it.AddWorkers(infos);
    for (const WorkerInfo& info : infos) runs[info.id];
  }

  // True when the run has ended, with `kind`.
  bool HasEnded(const std::string& worker, const RunId& run, TimePoint began, EndKind* kind) const {
    const Duration age = it.now - began;
    const auto fails = fails_after.find(run.task.job);
    const auto done = done_after.find(run.task.job);
    *kind = EndKind::kFailed;
    if (faulty.count(worker) > 0 && age >= milliseconds(100)) return true;
    if (fails != fails_after.end() && age >= fails->second) return true;
    *kind = EndKind::kDone;
    return done != done_after.end() && age >= done->second;
  }

  void Step() {
    it.Advance(kStep);
    it.Decide();
    for (const StartOrder& order : it.orders.starts) {
      runs[order.to.worker][order.run] = it.now;
      starts[order.run.task.job].emplace_back(order.to.worker, it.now);
    }
    it.ConfirmStarts();
    for (auto& [worker, active] : runs) {
      std::vector<ActiveRun> still;
      std::vector<EndedRun> ended;
      for (const auto& [run, began] : active) {
        EndKind kind = EndKind::kDone;
        if (HasEnded(worker, run, began, &kind)) {
          ended.push_back(End(++sequence[worker], run, kind));
        } else {
          still.push_back({run, "", 100, 0});
        }
      }
      for (const EndedRun& end : ended) active.erase(end.id);
      it.Report(worker, still, ended);
    }
    it.CommitAll();
  }

  // Adds a job of `replicas` perpetual tasks that fail after `fails` each time.
  void AddFailingWatch(int n, int replicas, int max_per_worker, Duration fails) {
    jobs::Step step = MakeStep(replicas, 300);
    step.perpetual = true;
    step.max_per_worker = max_per_worker;
    fails_after[IdOf(n)] = fails;
    it.dispatcher.AddJob(MakeJob(IdOf(n), {step}), {}, false);
  }

  // Adds an ordinary job each second. Returns how long one waited at most.
  Duration LongestWaitOfOrdinaryJobs(int first, int jobs) {
    std::map<std::string, TimePoint> submitted;
    for (int n = first; n < first + jobs; ++n) {
      submitted[IdOf(n)] = it.now;
      done_after[IdOf(n)] = milliseconds(300);
      it.dispatcher.AddJob(MakeJob(IdOf(n), {MakeStep(1)}), {}, false);
      for (Duration passed{}; passed < seconds(1); passed += kStep) Step();
    }
    for (Duration passed{}; passed < 2 * kStartBound; passed += kStep) Step();
    Duration longest{};
    for (const auto& [id, at] : submitted) {
      const TimePoint began = starts[id].empty() ? it.now : starts[id].front().second;
      longest = std::max<Duration>(longest, began - at);
    }
    return longest;
  }

  Scenario it;
  std::map<std::string, Duration> fails_after;  // runs of the job
  std::map<std::string, Duration> done_after;
  std::set<std::string> faulty;  // workers on which all runs fail after 100 ms
  std::map<std::string, std::vector<std::pair<std::string, TimePoint>>> starts;  // by job
  std::map<std::string, std::map<RunId, TimePoint>> runs;
  std::map<std::string, int64_t> sequence;
};

// Guards against a pool that starts no task of other jobs as long as one perpetual task fails
// wherever it runs: its failures count against each worker in turn.
TEST_F(FailingTaskTest, PerpetualTaskDoesNotKeepOthersFromStarting) {
  AddWorkers(4);
  jobs::Step perpetual = MakeStep(1);
  perpetual.perpetual = true;
  it.dispatcher.AddJob(MakeJob(kFailing, {perpetual}), {}, false);
  for (Duration passed{}; passed < seconds(5); passed += kStep) Step();
  it.dispatcher.AddJob(MakeJob(kOther, {MakeStep(1)}), {}, false);
  Duration waited{};
  while (it.dispatcher.FindJob(kOther)->state == jobs::JobState::kPending && waited < seconds(60)) {
    Step();
    waited += kStep;
  }
  EXPECT_LE(waited, kStartBound);
}

// Guards against workers that stay closed to all other tasks for good (review/14): perpetual tasks
// that fail after they have worked for long counted against each worker in turn.
TEST_F(FailingTaskTest, PerpetualTasksThatFailLateKeepNoOthersFromStarting) {
  AddWorkers(4);
  for (int n = 0; n < 8; ++n) AddFailingWatch(n, 8, 2, milliseconds(10500 + 900 * n));
  for (Duration passed{}; passed < seconds(30); passed += kStep) Step();
  EXPECT_LE(LongestWaitOfOrdinaryJobs(100, 10), kStartBound);
}

// Guards against the same without a limit per worker, and against tasks that fail faster.
TEST_F(FailingTaskTest, PerpetualTasksThatFailAtAnyTimeKeepNoOthersFromStarting) {
  AddWorkers(4);
  for (const int fails_ms : {700, 3000, 11000}) {
    for (int n = 0; n < 6; ++n) {
      AddFailingWatch(fails_ms + n, 6, 0, milliseconds(fails_ms + 200 * n));
    }
  }
  for (Duration passed{}; passed < seconds(30); passed += kStep) Step();
  EXPECT_LE(LongestWaitOfOrdinaryJobs(100, 10), kStartBound);
}

// Guards against the same in a pool of one worker, where no other worker tells that the tasks are
// at fault.
TEST_F(FailingTaskTest, SingleWorkerIsTriedBesidePerpetualTasksThatFail) {
  AddWorkers(1);
  for (int n = 0; n < 4; ++n) AddFailingWatch(n, 8, 0, milliseconds(1000 + 900 * n));
  for (Duration passed{}; passed < seconds(30); passed += kStep) Step();
  EXPECT_LE(LongestWaitOfOrdinaryJobs(100, 10), kStartBound);
}

// Guards against a worker that fails all that it starts and gets task after task, as it is always
// free: it gets few of them, and all jobs complete.
TEST_F(FailingTaskTest, WorkerThatFailsAllHarmsNoJob) {
  AddWorkers(4);
  faulty = {"w1"};
  constexpr int kJobs = 40;
  for (int n = 0; n < kJobs; ++n) {
    done_after[IdOf(n)] = milliseconds(1500);
    it.dispatcher.AddJob(MakeJob(IdOf(n), {MakeStep(2, 4000)}), {}, false);
  }
  for (Duration passed{}; passed < seconds(40); passed += kStep) Step();
  int on_faulty = 0;
  for (int n = 0; n < kJobs; ++n) {
    EXPECT_EQ(it.dispatcher.FindJob(IdOf(n))->state, jobs::JobState::kCompleted) << n;
    on_faulty +=
        static_cast<int>(std::count_if(starts[IdOf(n)].begin(), starts[IdOf(n)].end(),
                                       [](const auto& start) { return start.first == "w1"; }));
  }
  // At most one trial a second after the first tasks.
  EXPECT_LE(on_faulty, 20);
}

}  // namespace
}  // namespace pomelopond::dispatch
