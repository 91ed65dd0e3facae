#include "routing/admission.h"

#include <gtest/gtest.h>

namespace pomelopond::routing {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};
constexpr Duration kMs = std::chrono::milliseconds(1);

OperationLatency Operation(Duration mean) {
  OperationLatency latency;
  latency.mean = mean;
  latency.samples = 100;
  latency.last_sent = kNow;
  return latency;
}

// Guards against queuing a request that is refused at its deadline although the queue is already
// too long when the request arrives.
TEST(AdmissionTest, RefusesWhatTheQueueMakesTooLate) {
  const OperationLatency operation = Operation(10 * kMs);
  // 80 requests on 8 slots take 100 ms, half of the 200 ms that remain after 10 ms of service.
  EXPECT_TRUE(AdmitToQueue(operation, {80, 8, 10 * kMs, {}}, kNow + 210 * kMs, kNow));
  EXPECT_FALSE(AdmitToQueue(operation, {80, 8, 10 * kMs, {}}, kNow + 209 * kMs, kNow));
}

// Guards against a caller above its share whose requests all expire in the queue: even a short
// queue of that caller moves slowly while other callers take their turns.
TEST(AdmissionTest, WaitForTheCallersOwnTurnsCounts) {
  const OperationLatency operation = Operation(10 * kMs);
  EXPECT_TRUE(AdmitToQueue(operation, {8, 8, 10 * kMs, 100 * kMs}, kNow + 210 * kMs, kNow));
  EXPECT_FALSE(AdmitToQueue(operation, {8, 8, 10 * kMs, 101 * kMs}, kNow + 210 * kMs, kNow));
}

// Guards against sending requests whose caller no longer waits for the answer.
TEST(AdmissionTest, RefusesAnExpiredDeadline) {
  EXPECT_FALSE(AdmitToQueue({}, {}, kNow, kNow));
  EXPECT_FALSE(AdmitToTarget({}, kNow, kNow));
  EXPECT_FALSE(AdmitToTarget(Operation(10 * kMs), kNow + 4 * kMs, kNow));
  EXPECT_TRUE(AdmitToTarget(Operation(10 * kMs), kNow + 5 * kMs, kNow));
}

// Guards against refusing the first requests after a start, and against refusing every request of
// an operation forever because its estimate stems from a period of high latency.
TEST(AdmissionTest, UnknownOrStaleEstimateDoesNotRefuse) {
  EXPECT_TRUE(AdmitToQueue({}, {0, 8, {}, {}}, kNow + kMs, kNow));
  const OperationLatency operation = Operation(1000 * kMs);
  EXPECT_FALSE(AdmitToQueue(operation, {0, 8, kMs, {}}, kNow + kMs, kNow));
  const TimePoint later = kNow + 1000 * kMs;
  EXPECT_TRUE(AdmitToQueue(operation, {0, 8, kMs, {}}, later + kMs, later));
}

// Guards against refusing requests of a service that has no targets yet; they must wait.
TEST(AdmissionTest, NoSlotsKnownDoesNotRefuse) {
  EXPECT_TRUE(AdmitToQueue(Operation(kMs), {5, 0, kMs, {}}, kNow + 10 * kMs, kNow));
}

// Guards against an estimate that one answer from the heavy tail raises so far that usual requests
// are refused.
TEST(AdmissionTest, OneLateAnswerHardlyMovesTheMean) {
  OperationLatency latency;
  for (int n = 0; n < 100; ++n) RecordLatencySample(&latency, 10 * kMs);
  RecordLatencySample(&latency, 1000 * kMs);
  EXPECT_LT(latency.mean, 13 * kMs);
  EXPECT_GE(latency.mean, 10 * kMs);
}

}  // namespace
}  // namespace pomelopond::routing
