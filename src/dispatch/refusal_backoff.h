// Pauses of a worker that refuses starts. They grow exponentially with jitter, as each refused
// order costs the owner as much processor time as an accepted one.
#ifndef POMELOPOND_DISPATCH_REFUSAL_BACKOFF_H_
#define POMELOPOND_DISPATCH_REFUSAL_BACKOFF_H_

#include <cstdint>
#include <tuple>

#include "base/time.h"
#include "dispatch/worker.h"

namespace pomelopond::dispatch {

// Longest pause after the first refusal.
inline constexpr Duration kMinRefusalBackoff = std::chrono::milliseconds(200);
// Longest pause. When no other worker has room, a perpetual task waits for the end of a pause, so
// with an order and its answer it must stay well below the 3 s that such a task may be without a
// run.
inline constexpr Duration kMaxRefusalBackoff = std::chrono::milliseconds(1600);
// After a pause an unhealthy worker is sent a single start. Further ones wait for its answer, for
// at most this time.
inline constexpr Duration kMaxProbeTime = std::chrono::seconds(1);

// Refusals in a row of a worker.
struct RefusalBackoff {
  int refusals = 0;
  OrderStatus status = OrderStatus::kAccepted;  // of the last refusal
  TimePoint refused_at;                         // when the last refusal that counts arrived
  TimePoint until;                              // the worker is sent no task before

  friend bool operator==(const RefusalBackoff& a, const RefusalBackoff& b) {
    return std::tie(a.refusals, a.status, a.refused_at, a.until) ==
           std::tie(b.refusals, b.status, b.refused_at, b.until);
  }
  friend bool operator!=(const RefusalBackoff& a, const RefusalBackoff& b) { return !(a == b); }
};

// Returns the pause after the given number of refusals in a row, the upper half of it at random.
// `draw` is a number from 0 to 1.
Duration RefusalDelay(int refusals, double draw);

// Returns a number from 0 to 1 for the start order of this number. Consecutive numbers are spread.
double RefusalDraw(int64_t order_number);

// The state after the answer to a start order that was sent at `sent`. Orders that were sent before
// the last refusal arrived belong to the same try, so their answers change nothing.
RefusalBackoff AfterStartAnswer(const RefusalBackoff& before, OrderStatus status, TimePoint sent,
                                TimePoint now, double draw);

// The state after a run of the worker has ended, which gives room. It tells nothing of the health
// of the worker.
RefusalBackoff AfterEndedRun(const RefusalBackoff& before);

// The state after a start was sent.
RefusalBackoff AfterStartOrder(const RefusalBackoff& before, TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_REFUSAL_BACKOFF_H_
