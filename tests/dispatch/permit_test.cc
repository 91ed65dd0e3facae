#include "dispatch/permit.h"

#include <gtest/gtest.h>

#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr const char* kJob = "00000000000000aa";
constexpr Duration kValid = std::chrono::seconds(3);

jobs::Job PermitJob(int replicas) {
  jobs::Job job = MakeJob(kJob, {MakeStep(replicas)});
  job.rules.needs_permits = true;
  return job;
}

// A scenario with three workers and a job whose first decision orders permits.
struct Asked {
  explicit Asked(int replicas) {
    it.AddWorkers({MakeWorker("w1"), MakeWorker("w2"), MakeWorker("w3")});
    it.dispatcher.AddJob(PermitJob(replicas), {}, false);
    it.Decide();
  }
  void Grant(const std::vector<std::pair<std::string, std::string>>& granted) {
    it.dispatcher.OnPermits(it.orders.permits.at(0), {true, granted, kValid}, it.now);
    it.Decide();
  }
  Scenario it;
};

// Guards against a start order without a permit, which the worker refuses.
TEST(PermitTest, TasksWaitForPermitsAndCarryThem) {
  Asked asked(1);
  EXPECT_TRUE(asked.it.orders.starts.empty());
  ASSERT_EQ(asked.it.orders.permits.size(), 1U);
  EXPECT_EQ(asked.it.orders.permits[0].workers.size(), 3U);
  asked.Grant({{"w2", "permit-2"}});
  ASSERT_EQ(asked.it.orders.starts.size(), 1U);
  EXPECT_EQ(asked.it.orders.starts[0].to.worker, "w2");
  EXPECT_EQ(asked.it.orders.starts[0].permit, "permit-2");
}

// Guards against a flood of calls to a service that handles one call at a time.
TEST(PermitTest, OneOrderAStepIsOpen) {
  Asked asked(1);
  asked.it.Advance(std::chrono::seconds(1));
  asked.it.Decide();
  EXPECT_TRUE(asked.it.orders.permits.empty());
}

TEST(PermitTest, OrdersOfManyStepsAreBounded) {
  Scenario it;
  it.AddWorkers({MakeWorker("w1")});
  for (int n = 0; n < 5; ++n) {
    jobs::Job job = PermitJob(1);
    job.id.back() = static_cast<char>('0' + n);
    it.dispatcher.AddJob(job, {}, false);
  }
  it.Decide();
  EXPECT_EQ(it.orders.permits.size(),
            static_cast<size_t>(DispatchLimits().max_permit_orders_in_flight));
}

// Guards against repeated permit orders for the same workers: the policy of a step does not change,
// so a denial is final.
TEST(PermitTest, DeniedWorkersAreNotAskedAboutAgain) {
  Asked asked(1);
  asked.Grant({});
  EXPECT_TRUE(asked.it.orders.starts.empty());
  EXPECT_TRUE(asked.it.orders.permits.empty());
  // There is no decision yet for a worker that joined later.
  asked.it.AddWorkers({MakeWorker("w4")});
  asked.it.Decide();
  ASSERT_EQ(asked.it.orders.permits.size(), 1U);
  EXPECT_EQ(asked.it.orders.permits[0].workers,
            (std::vector<std::pair<std::string, int64_t>>{{"w4", 1}}));
}

// Guards against a permit order that is never repeated when the service is unavailable or busy.
TEST(PermitTest, UnansweredOrderIsRepeatedAfterAPause) {
  Asked asked(1);
  asked.it.dispatcher.OnPermits(asked.it.orders.permits.at(0), {}, asked.it.now);
  asked.it.Decide();
  EXPECT_TRUE(asked.it.orders.permits.empty());
  asked.it.Advance(std::chrono::milliseconds(400));
  asked.it.Decide();
  EXPECT_EQ(asked.it.orders.permits.size(), 1U);
}

// Guards against a start order with a permit that expires on its way to the worker.
TEST(PermitTest, ExpiredPermitsAreAskedForAgain) {
  Asked asked(1);
  asked.it.dispatcher.OnPermits(asked.it.orders.permits.at(0), {true, {{"w1", "p"}}, kValid},
                                asked.it.now);
  asked.it.Advance(kValid);
  for (const char* id : {"w1", "w2", "w3"}) asked.it.Report(id, {}, {});
  asked.it.Decide();
  EXPECT_TRUE(asked.it.orders.starts.empty());
  ASSERT_EQ(asked.it.orders.permits.size(), 1U);
  EXPECT_EQ(asked.it.orders.permits[0].workers,
            (std::vector<std::pair<std::string, int64_t>>{{"w1", 1}}));
}

// Guards against a permit that is used again after a worker refused it.
TEST(PermitTest, RefusedPermitIsAskedForAgain) {
  Asked asked(1);
  asked.Grant({{"w1", "p"}});
  Answer refusal = asked.it.Accepted();
  refusal.status = OrderStatus::kNoPermit;
  asked.it.dispatcher.OnStarted(asked.it.orders.starts.at(0), refusal, asked.it.now);
  asked.it.Decide();
  EXPECT_TRUE(asked.it.orders.starts.empty());
  EXPECT_EQ(asked.it.orders.permits.size(), 1U);
}

// Guards against a task that runs twice: a start order without an answer may still take effect, and
// its permit has expired since. The run must be stopped on that worker before another worker gets
// the task.
TEST(PermitTest, StartThatCannotBeRepeatedIsStopped) {
  Asked asked(1);
  asked.Grant({{"w1", "p"}, {"w2", "q"}});
  const StartOrder start = asked.it.orders.starts.at(0);
  Answer lost;
  asked.it.dispatcher.OnStarted(start, lost, asked.it.now);
  asked.it.Advance(kValid);
  asked.it.Decide();
  EXPECT_TRUE(asked.it.orders.starts.empty());
  asked.it.Decide();
  ASSERT_EQ(asked.it.orders.stops.size(), 1U);
  EXPECT_EQ(asked.it.orders.stops[0].run, start.run);
  EXPECT_TRUE(asked.it.orders.permits.empty());
}

// Guards against the use of permits that were granted to an earlier incarnation of a worker.
TEST(PermitTest, PermitEndsWithTheIncarnation) {
  StepPermits permits;
  ApplyPermits(&permits, {{}, {{"w1", 1}, {"w2", 1}}}, {true, {{"w1", "p"}}, kValid}, TimePoint{});
  EXPECT_NE(FindPermit(permits, "w1", 1, TimePoint{}), nullptr);
  EXPECT_EQ(FindPermit(permits, "w1", 2, TimePoint{}), nullptr);
  EXPECT_FALSE(IsUndecided(permits, "w2", 1, TimePoint{}));
  EXPECT_TRUE(IsUndecided(permits, "w2", 2, TimePoint{}));
}

}  // namespace
}  // namespace pomelopond::dispatch
