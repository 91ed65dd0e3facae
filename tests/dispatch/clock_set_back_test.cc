// Workers whose wall clock is set back before they start again, so that their number is lower.
#include <gtest/gtest.h>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";

// Guards against a worker that is ignored for ever, since its number is taken for that of an
// earlier incarnation.
TEST(ClockSetBackTest, LaterIncarnationWithALowerNumberGetsTasks) {
  Scenario it;
  WorkerInfo worker = MakeWorker("w1");
  worker.incarnation = 5;
  it.dispatcher.UpdateWorker(worker, it.now);
  it.CommitAll();
  worker.incarnation = 3;
  it.dispatcher.UpdateWorker(worker, it.now);
  it.dispatcher.AddJob(MakeJob(kJob, {MakeStep(1)}), {}, false);
  size_t starts = 0;
  for (int n = 0; n < 200; ++n) {
    it.Advance(std::chrono::milliseconds(100));
    it.Decide();
    starts += it.orders.starts.size();
    Answer answer = it.Accepted();
    answer.incarnation = 3;
    for (const HeartbeatOrder& order : it.orders.heartbeats) {
      it.dispatcher.OnReport(order, {answer, {}, {}}, it.now, it.WallMs());
    }
  }
  EXPECT_GT(starts, 0U);
}

}  // namespace
}  // namespace pomelopond::dispatch
