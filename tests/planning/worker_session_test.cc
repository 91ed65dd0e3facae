#include "planning/worker_session.h"

#include <gtest/gtest.h>

#include "fakes/worker/worker_state.h"

namespace pomelopond::planning {
namespace {

constexpr Duration kTtl = std::chrono::seconds(20);
constexpr TimePoint kStart{std::chrono::seconds(1000)};
constexpr Resources kCapacity{4000, 4096, 0};

TimePoint At(double seconds) { return kStart + Duration(static_cast<int64_t>(seconds * 1e6)); }

ShardState OneGrantedTask() {
  ShardState state;
  JobSpec spec;
  spec.id = "job";
  spec.team = "team";
  spec.need = {1000, 100, 0};
  spec.run_time = std::chrono::hours(1);
  Apply(&state, AcceptEvent(spec));
  Event grant = TaskEvent(EventType::kGrant, "job/0", 1);
  grant.host = "w";
  Apply(&state, grant);
  return state;
}

// Sends one message and handles its answer, both without delay.
ExchangeReply RoundTrip(const ShardState& state, int64_t epoch, fakes::WorkerState* worker,
                        WorkerSession* session, TimePoint now) {
  ExchangeReply reply =
      worker->Exchange(MakeExchange(state, "s", epoch, kTtl, {}, {}, session), now);
  OnReply(state, epoch, reply, kTtl, now, session);
  return reply;
}

struct WorkerSessionTest : testing::Test {
  WorkerSessionTest() : worker(kCapacity, 7, kStart) { session.host = "w"; }

  fakes::WorkerState worker;
  WorkerSession session;
};

// Guards against a lease that is lengthened by a renewal that was delayed or sent by a paused
// owner.
TEST_F(WorkerSessionTest, DelayedRenewalDoesNotLengthenTheLease) {
  const ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1));
  RoundTrip(state, 1, &worker, &session, At(2));
  const ExchangeRequest delayed = MakeExchange(state, "s", 1, kTtl, {}, {}, &session);
  worker.Exchange(delayed, At(21));
  worker.Advance(At(22.5));
  ASSERT_EQ(worker.runs().size(), 1u);
  EXPECT_EQ(worker.runs()[0].state, ReportState::kStopped);
  EXPECT_LE(worker.runs()[0].ended, At(22));
  EXPECT_GE(session.lease_end, worker.runs()[0].ended);
}

// Guards against a start message that is delivered a second time after the task has ended.
TEST_F(WorkerSessionTest, RepeatedMessageStartsNothing) {
  const ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1));
  const ExchangeRequest start = MakeExchange(state, "s", 1, kTtl, {}, {}, &session);
  worker.Exchange(start, At(2));
  ExchangeRequest stop = start;
  stop.sequence += 1;
  stop.starts.clear();
  stop.stops = {{"job/0", 1}};
  worker.Exchange(stop, At(3));
  stop.sequence += 1;
  stop.stops.clear();
  stop.acks = {{"job/0", 1}};
  worker.Exchange(stop, At(4));
  const ExchangeReply again = worker.Exchange(start, At(5));
  EXPECT_EQ(again.code, static_cast<int64_t>(ResultCode::kStaleEpoch));
  EXPECT_EQ(worker.runs().size(), 1u);
}

// Guards against a replaced owner that starts or renews anything after its successor's first
// message.
TEST_F(WorkerSessionTest, WorkerRefusesTheOldOwnerAfterTheNewOneSpoke) {
  const ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1));
  WorkerSession successor;
  successor.host = "w";
  successor.lease_end = kUnknownLease;
  RoundTrip(state, 2, &worker, &successor, At(2));
  RoundTrip(state, 1, &worker, &session, At(3));
  EXPECT_TRUE(session.replaced);
  EXPECT_TRUE(worker.runs().empty());
  EXPECT_LT(successor.lease_end, kUnknownLease);
}

// Guards against granting a task to another host while the lease may still be held: clock rates may
// differ by 2%.
TEST_F(WorkerSessionTest, AttemptEndsOnlyAfterLeaseAndMargin) {
  ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1));
  RoundTrip(state, 1, &worker, &session, At(2));
  EXPECT_TRUE(OnLeaseEnd(state, session, At(1 + 20 * 1.02)).empty());
  EXPECT_EQ(OnLeaseEnd(state, session, At(2 + 20 * 1.02 + 1.1)).size(), 1u);
}

// Guards against a new owner that treats a worker's tasks as ended while a lease renewed by the
// previous owner may still be held.
TEST_F(WorkerSessionTest, UnknownLeaseNeverEndsByItself) {
  session.lease_end = kUnknownLease;
  EXPECT_TRUE(OnLeaseEnd(OneGrantedTask(), session, At(1e6)).empty());
}

// Guards against a task that waits forever after its worker has restarted and lost it.
TEST_F(WorkerSessionTest, RestartedWorkerGivesRunningTasksBack) {
  ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1));
  RoundTrip(state, 1, &worker, &session, At(2));
  Apply(&state, TaskEvent(EventType::kRunning, "job/0", 1));
  session.known = 1;
  fakes::WorkerState restarted(kCapacity, 8, At(3));
  const ExchangeReply reply =
      restarted.Exchange(MakeExchange(state, "s", 1, kTtl, {}, {}, &session), At(4));
  const ReplyDecision decision = OnReply(state, 1, reply, kTtl, At(4), &session);
  ASSERT_EQ(decision.events.size(), 1u);
  EXPECT_EQ(decision.events[0].type, EventType::kStopped);
}

// Guards against a renewal meant for the worker's previous process: the echoed clock reading is not
// that of the new process, and would give a lease as long as the previous process had run.
TEST_F(WorkerSessionTest, RestartedWorkerTakesNoRenewalForItsPreviousProcess) {
  ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1000));
  const ExchangeRequest delayed = MakeExchange(state, "s", 1, kTtl, {}, {}, &session);
  worker.Restart(8, At(1001));
  const ExchangeReply reply = worker.Exchange(delayed, At(1001));
  EXPECT_TRUE(worker.runs().empty());
  EXPECT_TRUE(reply.full);
  EXPECT_EQ(reply.refusals.size(), 1u);
}

// Guards against reports that the owner never receives because the restarted worker numbers them
// from 1 again.
TEST_F(WorkerSessionTest, ReportSequenceStartsAgainWithTheWorker) {
  const ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1));
  session.known = 50;
  worker.Restart(8, At(2));
  RoundTrip(state, 1, &worker, &session, At(3));
  EXPECT_EQ(session.known, 0);
}

// Guards against a start of an attempt whose end by lease expiry is being journalled: the task
// would be granted to another host while it runs on this one.
TEST_F(WorkerSessionTest, HeldTaskIsNotStarted) {
  const ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1));
  EXPECT_EQ(MakeExchange(state, "s", 1, kTtl, {}, {}, &session).starts.size(), 1u);
  EXPECT_TRUE(MakeExchange(state, "s", 1, kTtl, {}, {"job/0"}, &session).starts.empty());
}

// Guards against an attempt that continues to run after it was replaced.
TEST_F(WorkerSessionTest, RunningReplacedAttemptIsStray) {
  ShardState state = OneGrantedTask();
  RoundTrip(state, 1, &worker, &session, At(1));
  RoundTrip(state, 1, &worker, &session, At(2));
  Apply(&state, TaskEvent(EventType::kStopped, "job/0", 1));
  const ExchangeReply reply =
      worker.Exchange(MakeExchange(state, "s", 1, kTtl, {}, {}, &session), At(3));
  const ReplyDecision decision = OnReply(state, 1, reply, kTtl, At(3), &session);
  ASSERT_EQ(decision.stale_attempts.size(), 1u);
  EXPECT_EQ(decision.stale_attempts[0], (AttemptId{"job/0", 1}));
}

}  // namespace
}  // namespace pomelopond::planning
