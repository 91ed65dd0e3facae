// What the owner of a shard knows of one worker host: epochs, clock readings and its run lease.
#ifndef POMELOPOND_PLANNING_WORKER_SESSION_H_
#define POMELOPOND_PLANNING_WORKER_SESSION_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "planning/event.h"
#include "planning/shard_state.h"
#include "planning/worker_protocol.h"

namespace pomelopond::planning {

// Clocks of two machines run at rates that differ by at most this share.
inline constexpr double kMaxClockDrift = 0.02;
// Time a worker may need after the end of a lease until it has stopped its tasks.
inline constexpr Duration kWorkerStopSlack = std::chrono::seconds(1);

inline constexpr TimePoint kUnknownLease = TimePoint::max();

// Volatile; a new owner starts with an empty one. Times are of the owner's clock.
struct WorkerSession {
  std::string host;
  int64_t sequence = 0;      // of the last message sent
  bool confirmed = false;    // the worker has answered at this epoch
  bool replaced = false;     // the worker has seen a higher epoch than ours
  Duration worker_clock{};   // reading in the last answer
  TimePoint clock_received;  // when that answer came
  // No task of the shard runs there after this, unless it is renewed. A new owner starts with
  // kUnknownLease, since it does not know what the previous owner renewed.
  TimePoint lease_end;
  int64_t known = 0;  // last report sequence that is journalled
  uint64_t incarnation = 0;
};

// The latest time on our clock at which a lease that ends at `clock_received + ttl` by the worker's
// clock can still be held.
TimePoint LeaseEnd(TimePoint clock_received, Duration ttl);

// The next message to a worker. Starts are sent only to a worker that has answered at this epoch;
// granted attempts are sent until they are reported. Tasks in `held` are not started: the end of
// their attempt is being journalled. Updates the session's sequence and lease.
ExchangeRequest MakeExchange(const ShardState& state, const std::string& shard, int64_t epoch,
                             Duration lease_ttl, const std::vector<AttemptId>& acks,
                             const std::set<std::string>& ending_tasks, WorkerSession* session);

// Events that an answer gives rise to. `events` are not applied yet; the caller journals them,
// applies them and then sets session->known to the answer's report sequence.
struct ReplyDecision {
  std::vector<Event> events;
  std::vector<AttemptId> acks;  // attempts whose end is journalled already
  std::vector<AttemptId>
      stale_attempts;  // attempts that run although they were replaced; to be stopped
};

ReplyDecision OnReply(const ShardState& state, int64_t epoch, const ExchangeReply& reply,
                      Duration lease_ttl, TimePoint now, WorkerSession* session);

// Events for a worker whose lease has ended by `now`: its attempts are over.
std::vector<Event> OnLeaseEnd(const ShardState& state, const WorkerSession& session, TimePoint now);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_WORKER_SESSION_H_
