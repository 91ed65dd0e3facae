#include "dispatch/worker_lease.h"

#include <algorithm>

#include "base/log.h"
#include "dispatch/dispatcher.h"

namespace pomelopond::dispatch {

Duration LongestLease(const DispatchLimits& limits) {
  const Duration longest = std::max(limits.lease_horizon, limits.max_lease);
  return std::chrono::duration_cast<Duration>(longest / kMinClockRate) + kTimerSlack;
}

void RecordClock(WorkerState* worker, const Answer& answer, TimePoint now) {
  if (answer.clock_ms == 0) return;
  worker->clock_ms = answer.clock_ms;
  worker->clock_at = now;
}

bool IsClockBehind(const WorkerState& worker, const Answer& answer, TimePoint sent) {
  if (answer.clock_ms == 0 || worker.clock_ms == 0) return false;
  // Another worker at the address shows its own clock.
  if (answer.status == OrderStatus::kWrongIncarnation) return false;
  const Duration passed = sent - worker.clock_at;
  // Before the report a clock at the full rate is furthest behind, after it a slow one.
  const double rate = passed < Duration::zero() ? 1 : kMinClockRate;
  const int64_t least =
      worker.clock_ms + Milliseconds(std::chrono::duration_cast<Duration>(passed * rate));
  return answer.clock_ms + Milliseconds(kTimerSlack) < least;
}

void AwaitReport(WorkerState* worker, const Answer& answer, TimePoint now) {
  Log(LogLevel::kInfo, "dispatch", "worker_clock_behind",
      {{"worker", worker->info.id},
       {"clock_ms", answer.clock_ms},
       {"reported_clock_ms", worker->clock_ms}});
  worker->contacted = false;
  worker->may_have_restarted = true;
  worker->next_heartbeat = now;
}

}  // namespace pomelopond::dispatch
