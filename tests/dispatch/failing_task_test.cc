// Tasks that fail wherever they run, and the tasks of other jobs beside them.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A task for which there is room starts within this time.
constexpr Duration kStartBound = seconds(3);
constexpr Duration kStep = milliseconds(50);
constexpr const char* kFailing = "00000000000000aa";
constexpr const char* kOther = "00000000000000bb";

// Workers on which each run of the failing job fails after 100 ms, and other runs go on.
class FailingTaskTest : public ::testing::Test {
 protected:
  FailingTaskTest() {
    std::vector<WorkerInfo> infos;
    for (const char* id : {"w1", "w2", "w3", "w4"}) infos.push_back(MakeWorker(id));
    it.AddWorkers(infos);
    for (const WorkerInfo& info : infos) runs[info.id];
  }

  void Step() {
    it.Advance(kStep);
    it.Decide();
    for (const StartOrder& order : it.orders.starts) runs[order.to.worker][order.run] = it.now;
    it.ConfirmStarts();
    for (auto& [worker, active] : runs) {
      std::vector<ActiveRun> still;
      std::vector<EndedRun> ended;
      for (const auto& [run, began] : active) {
        if (run.task.job == kFailing && it.now - began >= milliseconds(100)) {
          ended.push_back(End(++sequence[worker], run, EndKind::kFailed));
        } else {
          still.push_back({run, "", 100, 0});
        }
      }
      for (const EndedRun& end : ended) active.erase(end.id);
      it.Report(worker, still, ended);
    }
    it.CommitAll();
  }

  Scenario it;
  std::map<std::string, std::map<RunId, TimePoint>> runs;
  std::map<std::string, int64_t> sequence;
};

// Guards against a pool that starts no task of other jobs as long as one perpetual task fails
// wherever it runs: its failures count against each worker in turn.
TEST_F(FailingTaskTest, PerpetualTaskDoesNotKeepOthersFromStarting) {
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

}  // namespace
}  // namespace pomelopond::dispatch
