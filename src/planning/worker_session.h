// The session of a shard's owner with one worker host: epochs, clock readings and the lease under
// which the host may run tasks of the shard.
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

// Upper bound of the relative difference between the clock rates of two machines.
inline constexpr double kMaxClockDrift = 0.02;
// Time that a worker may need after the end of a lease to stop its tasks.
inline constexpr Duration kWorkerStopSlack = std::chrono::seconds(1);

// Stands for the end of a lease that a previous owner may have renewed to an unknown time.
inline constexpr TimePoint kUnknownLease = TimePoint::max();

// Session with one worker, kept in memory only; a new owner starts with an empty session. Times are
// readings of the owner's clock.
struct WorkerSession {
  std::string host;
  int64_t sequence = 0;      // number of the last message sent
  bool confirmed = false;    // the worker has answered in this epoch
  bool replaced = false;     // the worker has seen a higher epoch, so another owner has taken over
  Duration worker_clock{};   // the worker's clock reading in its last answer
  TimePoint clock_received;  // when that answer arrived
  // No task of the shard runs on the worker after this time, unless the lease is renewed. A new
  // owner starts with kUnknownLease, since it does not know which leases the previous owner
  // renewed.
  TimePoint lease_end;
  int64_t known = 0;         // last report sequence number that is journalled
  uint64_t incarnation = 0;  // incarnation in the worker's last answer
};

// Returns the latest time on the owner's clock at which tasks may still run under a lease that ends
// `ttl` after `clock_received` by the worker's clock.
TimePoint LeaseEnd(TimePoint clock_received, Duration ttl);

// Returns the next message to a worker and updates the session's sequence and lease. Starts are
// sent only to a worker that has answered in this epoch, and are repeated until the worker reports
// the granted attempt. Tasks in `ending_tasks` are not started, because the end of their attempt is
// being journalled.
ExchangeRequest MakeExchange(const ShardState& state, const std::string& shard, int64_t epoch,
                             Duration lease_ttl, const std::vector<AttemptId>& acks,
                             const std::set<std::string>& ending_tasks, WorkerSession* session);

// The consequences of a worker's answer. `events` are not applied yet: the caller journals them,
// applies them and then sets session->known to the answer's report sequence.
struct ReplyDecision {
  std::vector<Event> events;
  std::vector<AttemptId> acks;            // attempts whose end is journalled already
  std::vector<AttemptId> stale_attempts;  // replaced attempts that still run and must be stopped
};

ReplyDecision OnReply(const ShardState& state, int64_t epoch, const ExchangeReply& reply,
                      Duration lease_ttl, TimePoint now, WorkerSession* session);

// Returns the events that end all attempts on a worker whose lease has ended by `now`.
std::vector<Event> OnLeaseEnd(const ShardState& state, const WorkerSession& session, TimePoint now);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_WORKER_SESSION_H_
