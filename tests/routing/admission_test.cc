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

// Guards against requests that wait and are then refused at their deadline, when it was clear on
// arrival that the queue is too long.
TEST(AdmissionTest, RefusesWhatTheQueueMakesTooLate) {
  const OperationLatency operation = Operation(10 * kMs);
  // 80 requests at 8 side by side take 100 ms, half of what is left after 10 ms of service.
  EXPECT_TRUE(AdmitToQueue(operation, {80, 8, 10 * kMs, {}}, kNow + 210 * kMs, kNow));
  EXPECT_FALSE(AdmitToQueue(operation, {80, 8, 10 * kMs, {}}, kNow + 209 * kMs, kNow));
}

// Guards against a caller above its share whose requests all expire in the queue: a short queue of
// its own moves slowly while other callers take their turns.
TEST(AdmissionTest, WaitForTheCallersOwnTurnsCounts) {
  const OperationLatency operation = Operation(10 * kMs);
  EXPECT_TRUE(AdmitToQueue(operation, {8, 8, 10 * kMs, 100 * kMs}, kNow + 210 * kMs, kNow));
  EXPECT_FALSE(AdmitToQueue(operation, {8, 8, 10 * kMs, 101 * kMs}, kNow + 210 * kMs, kNow));
}

// Guards against sending requests that nobody waits for any more.
TEST(AdmissionTest, RefusesAnExpiredDeadline) {
  EXPECT_FALSE(AdmitToQueue({}, {}, kNow, kNow));
  EXPECT_FALSE(AdmitToTarget({}, kNow, kNow));
  EXPECT_FALSE(AdmitToTarget(Operation(10 * kMs), kNow + 4 * kMs, kNow));
  EXPECT_TRUE(AdmitToTarget(Operation(10 * kMs), kNow + 5 * kMs, kNow));
}

// Guards against refusing the first requests after a start, and every request of an operation for
// ever because its estimate was made in a bad time.
TEST(AdmissionTest, UnknownOrStaleEstimateDoesNotRefuse) {
  EXPECT_TRUE(AdmitToQueue({}, {0, 8, {}, {}}, kNow + kMs, kNow));
  const OperationLatency operation = Operation(1000 * kMs);
  EXPECT_FALSE(AdmitToQueue(operation, {0, 8, kMs, {}}, kNow + kMs, kNow));
  const TimePoint later = kNow + 1000 * kMs;
  EXPECT_TRUE(AdmitToQueue(operation, {0, 8, kMs, {}}, later + kMs, later));
}

// Guards against a service without targets yet that refuses instead of waiting.
TEST(AdmissionTest, NoSlotsKnownDoesNotRefuse) {
  EXPECT_TRUE(AdmitToQueue(Operation(kMs), {5, 0, kMs, {}}, kNow + 10 * kMs, kNow));
}

// Guards against one answer of the heavy tail that makes admission refuse usual requests.
TEST(AdmissionTest, OneLateAnswerHardlyMovesTheMean) {
  OperationLatency latency;
  for (int n = 0; n < 100; ++n) RecordLatencySample(&latency, 10 * kMs);
  RecordLatencySample(&latency, 1000 * kMs);
  EXPECT_LT(latency.mean, 13 * kMs);
  EXPECT_GE(latency.mean, 10 * kMs);
}

}  // namespace
}  // namespace pomelopond::routing
