// Start orders to workers that refuse them.
#include "dispatch/refusal_backoff.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(10);
constexpr Duration kAnswerTime = milliseconds(40);
constexpr Duration kRefusing = seconds(10);
constexpr int kWorkers = 10;
constexpr int kAccepting = 2;
constexpr const char* kWaiting = "00000000000000aa";

// A pool with more waiting tasks than room. Runs do not end.
class RefusalTest : public ::testing::Test {
 protected:
  RefusalTest() {
    std::vector<WorkerInfo> infos;
    for (int n = 1; n <= kWorkers; ++n) infos.push_back(MakeWorker("w" + std::to_string(n), 8000));
    it.AddWorkers(infos);
    it.dispatcher.AddJob(MakeJob(kWaiting, {MakeStep(kWorkers * 16)}), {}, false);
  }

  // Answers the orders after kAnswerTime.
  void Advance(Duration by) {
    for (Duration passed{}; passed < by; passed += kStep) {
      it.Advance(kStep);
      it.Decide();
      for (const StartOrder& order : it.orders.starts) {
        if (refusing.count(order.to.worker) > 0) refused[order.to.worker] += 1;
        in_flight.emplace(it.now + kAnswerTime, order);
      }
      AnswerOrders();
      for (const HeartbeatOrder& order : it.orders.heartbeats) SendReport(order);
      it.CommitAll();
    }
  }

  void AnswerOrders() {
    while (!in_flight.empty() && in_flight.begin()->first <= it.now) {
      const StartOrder order = in_flight.begin()->second;
      in_flight.erase(in_flight.begin());
      Answer answer = it.Accepted();
      if (refusing.count(order.to.worker) > 0) answer.status = status;
      if (answer.status == OrderStatus::kAccepted) active[order.to.worker].insert(order.run);
      it.dispatcher.OnStarted(order, answer, it.now);
    }
  }

  void SendReport(const HeartbeatOrder& order) {
    std::vector<ActiveRun> runs;
    for (const RunId& id : active[order.to.worker]) runs.push_back({id, "", ++percent, 0});
    it.dispatcher.OnReport(order, {it.Accepted(), runs, {}}, it.now, it.WallMs());
  }

  Scenario it;
  OrderStatus status = OrderStatus::kUnhealthy;
  std::set<std::string> refusing;
  std::map<std::string, int> refused;
  std::multimap<TimePoint, StartOrder> in_flight;
  std::map<std::string, std::set<RunId>> active;
  int percent = 0;
};

// Guards against an owner that spends its processor time on orders to workers that refuse them all.
TEST_F(RefusalTest, OrdersToRefusingWorkersAreBounded) {
  for (int n = kAccepting + 1; n <= kWorkers; ++n) refusing.insert("w" + std::to_string(n));
  Advance(kRefusing);
  // The first burst, and then single orders.
  for (const auto& [worker, count] : refused) EXPECT_LE(count, 8 + 14) << worker;
}

// Guards against a worker that gets no work for long after it has refused starts.
TEST_F(RefusalTest, RecoveredWorkersGetWorkWithinTheBound) {
  for (int n = 1; n <= kWorkers; ++n) refusing.insert("w" + std::to_string(n));
  Advance(kRefusing);
  refusing.clear();
  Advance(kMaxRefusalBackoff + 3 * kAnswerTime);
  for (int n = 1; n <= kWorkers; ++n) EXPECT_FALSE(active["w" + std::to_string(n)].empty()) << n;
  Advance(milliseconds(500));
  for (int n = 1; n <= kWorkers; ++n) EXPECT_EQ(active["w" + std::to_string(n)].size(), 8U) << n;
}

// Guards against a pause for want of room that goes on although a run has ended on the worker.
TEST_F(RefusalTest, ReportedEndEndsThePauseForRoom) {
  Advance(seconds(1));
  const RunId ended = *active["w1"].begin();
  active["w1"].erase(ended);
  it.Report("w1", {}, {End(1, ended, EndKind::kStopped)});
  status = OrderStatus::kNoCapacity;
  refusing.insert("w1");
  Advance(seconds(5));
  refusing.clear();
  ASSERT_GT(it.dispatcher.workers().at("w1").backoff_until, it.now);
  const RunId next = *active["w1"].begin();
  active["w1"].erase(next);
  it.Report("w1", {}, {End(2, next, EndKind::kStopped)});
  EXPECT_LE(it.dispatcher.workers().at("w1").backoff_until, it.now);
}

// Guards against a small task that never gets a turn behind a large one, which is always refused.
TEST(RefusedRoomTest, SmallTaskIsOrderedBesideALargeOneThatIsRefused) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1", 8000)});
  it.dispatcher.AddJob(MakeJob("00000000000000aa", {MakeStep(1, 6000)}), {}, false);
  int small = 0;
  for (int n = 0; n < 1500; ++n) {
    if (n == 30) it.dispatcher.AddJob(MakeJob("00000000000000bb", {MakeStep(1, 1000)}), {}, false);
    it.Advance(kStep);
    it.Decide();
    for (const StartOrder& order : it.orders.starts) {
      Answer answer = it.Accepted();
      small += order.run.task.job == "00000000000000bb" ? 1 : 0;
      if (order.run.task.job == "00000000000000aa") answer.status = OrderStatus::kNoCapacity;
      it.dispatcher.OnStarted(order, answer, it.now);
    }
    if (small > 0) break;
  }
  EXPECT_EQ(small, 1);
}

// Guards against a worker that is kept without work for the refusals of its earlier incarnation.
TEST_F(RefusalTest, RestartEndsThePause) {
  refusing.insert("w1");
  Advance(seconds(5));
  Answer restarted = it.Accepted();
  restarted.incarnation = 2;
  HeartbeatOrder order;
  order.to = {"w1", it.dispatcher.workers().at("w1").info.endpoint};
  it.dispatcher.OnReport(order, {restarted, {}, {}}, it.now, it.WallMs());
  EXPECT_LE(it.dispatcher.workers().at("w1").backoff_until, it.now);
}

// Guards against a pause that grows with each order of one burst instead of each failed try.
TEST(RefusalBackoffTest, RefusalsOfOneBurstCountOnce) {
  const TimePoint sent(seconds(100));
  const TimePoint answered = sent + kAnswerTime;
  constexpr OrderStatus kRefused = OrderStatus::kUnhealthy;
  const RefusalBackoff first = AfterStartAnswer({}, kRefused, sent, answered, 1);
  EXPECT_EQ(AfterStartAnswer(first, kRefused, sent, answered + kStep, 0), first);
  EXPECT_EQ(AfterStartAnswer(first, kRefused, answered, answered + kStep, 1).refusals, 2);
  EXPECT_EQ(AfterStartAnswer(first, OrderStatus::kAccepted, answered, answered + kStep, 1),
            RefusalBackoff{});
}

// Guards against pauses beyond the bound, and against workers that are tried in step.
TEST(RefusalBackoffTest, PausesDoubleUpToTheBoundWithJitter) {
  EXPECT_EQ(RefusalDelay(1, 1), kMinRefusalBackoff);
  EXPECT_EQ(RefusalDelay(2, 1), 2 * kMinRefusalBackoff);
  EXPECT_EQ(RefusalDelay(1000, 1), kMaxRefusalBackoff);
  EXPECT_EQ(RefusalDelay(1000, 0), kMaxRefusalBackoff / 2);
}

}  // namespace
}  // namespace pomelopond::dispatch
