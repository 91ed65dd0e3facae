// The speed of workers: what a run tells of its worker, and what it does not.
#include "dispatch/worker_speed.h"

#include <gtest/gtest.h>

#include <vector>

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegin{std::chrono::hours(1)};
constexpr int64_t kEstimateMs = 2000;
constexpr double kLongTask = 0.15;  // speed of a task that takes seven times as long

// Speed of a run that gets `share` of its processor time and is at `percent` after a second.
double SpeedOf(int percent, double share) {
  SpeedMeter meter;
  BeginMeter(&meter, 0, kBegin);
  const TimePoint end = kBegin + seconds(1);
  const bool known = AdvanceMeter(&meter, percent, share, kEstimateMs, kEstimateMs, false, end);
  return known ? meter.speed : -1;
}

// Guards against best-effort runs that are taken for slow because others use the processor time.
TEST(WorkerSpeedTest, ProcessorTimeThatARunDoesNotGetIsNoSlowness) {
  EXPECT_NEAR(SpeedOf(50, 1), 1, 0.01);
  EXPECT_NEAR(SpeedOf(25, 0.5), 1, 0.01);
  EXPECT_LT(SpeedOf(0, 0), 0);
}

// Workers with a normal step of the image each, so that its typical speed is known.
class Peers {
 public:
  Peers() : workers_(6) {}

  void Add(size_t worker, size_t step, double speed, TimePoint at) {
    const ImageIndex image = IndexOfImage(&model_, "pool", "image");
    AddSample(&workers_[worker], {step, 0, image, speed, at});
  }
  void AddNormalPeers(TimePoint at) {
    for (size_t n = 1; n < workers_.size(); ++n) Add(n, 100, 1, at);
  }
  bool IsSlow(TimePoint now) {
    std::vector<WorkerSpeed*> workers;
    for (WorkerSpeed& it : workers_) workers.push_back(&it);
    UpdateSpeeds(&model_, workers, now);
    return workers_[0].slow;
  }

 private:
  SpeedModel model_;
  std::vector<WorkerSpeed> workers_;
};

// Guards against tasks that are long by nature and are reported last: they were slow before others
// on the worker were normal.
TEST(WorkerSpeedTest, LongTasksBesideNormalOnesAreNoVerdict) {
  Peers peers;
  for (size_t step = 0; step < 4; ++step) peers.Add(0, step, kLongTask, kBegin);
  peers.Add(0, 4, 1, kBegin + milliseconds(500));
  for (size_t step = 0; step < 4; ++step) peers.Add(0, step, kLongTask, kBegin + seconds(1));
  peers.AddNormalPeers(kBegin + seconds(1));
  EXPECT_FALSE(peers.IsSlow(kBegin + seconds(1)));
}

// Guards against a verdict from a few tasks, or from many tasks of one step whose estimate is
// wrong.
TEST(WorkerSpeedTest, FewStepsAreNoVerdict) {
  Peers peers;
  peers.AddNormalPeers(kBegin);
  for (size_t step = 0; step < 3; ++step) {
    for (int repeated = 0; repeated < 3; ++repeated) peers.Add(0, step, kLongTask, kBegin);
  }
  EXPECT_FALSE(peers.IsSlow(kBegin));
  peers.Add(0, 3, kLongTask, kBegin);
  EXPECT_TRUE(peers.IsSlow(kBegin));
}

// Guards against a verdict that stays for good where nothing runs any more.
TEST(WorkerSpeedTest, VerdictEndsWithoutNewEvidence) {
  Peers peers;
  peers.AddNormalPeers(kBegin);
  for (size_t step = 0; step < 4; ++step) peers.Add(0, step, kLongTask, kBegin);
  EXPECT_TRUE(peers.IsSlow(kBegin));
  EXPECT_TRUE(peers.IsSlow(kBegin + seconds(6)));
  EXPECT_FALSE(peers.IsSlow(kBegin + seconds(9)));
}

}  // namespace
}  // namespace pomelopond::dispatch
