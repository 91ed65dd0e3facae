// Interface for the calls from the owner of a pool to its workers. Production code implements it
// over the network and tests by test doubles.
#ifndef POMELOPOND_DISPATCH_WORKER_CALLS_H_
#define POMELOPOND_DISPATCH_WORKER_CALLS_H_

#include <functional>
#include <string>

#include "base/time.h"
#include "dispatch/worker.h"

namespace pomelopond::dispatch {

// Recipient of an order. A worker with another id at the same endpoint refuses the order. A later
// incarnation with the same id does not: only its answer tells.
struct WorkerAddress {
  std::string worker;
  Endpoint endpoint;
};

// Extends the lease of the worker, acknowledges ended runs and requests a report.
struct HeartbeatOrder {
  WorkerAddress to;
  int64_t epoch = 0;
  int64_t lease_end_ms = 0;  // on the worker's clock; 0: extends nothing
  int64_t acknowledged = 0;  // highest position of an ended run that the worker may delete
  Duration wait{};           // longest time that the worker may delay the answer until a run ends
  // Connection of the last report. On any other one, which may reach a later incarnation, nothing
  // is acknowledged and no lease is extended. 0: not known.
  uint64_t connection = 0;
};

// Starts a run.
struct StartOrder {
  WorkerAddress to;
  int64_t epoch = 0;
  int64_t lease_end_ms = 0;  // on the clock of the worker's `incarnation`
  RunId run;
  std::string spec;
  std::string checkpoint;   // empty: start from the beginning
  std::string permit;       // empty: the queue needs no permits
  int64_t number = 0;       // of this order among the start orders of the owner; not sent
  TimePoint sent_at;        // not sent
  int64_t incarnation = 0;  // of the worker; the order reaches this one or none
};

// Stops a run.
struct StopOrder {
  WorkerAddress to;
  int64_t epoch = 0;
  RunId run;
  int64_t incarnation = 0;  // of the worker when the order was made; not sent
  TimePoint sent_at{};      // not sent
};

// Limits the processor share of a best-effort run.
struct PaceOrder {
  WorkerAddress to;
  int64_t epoch = 0;
  RunId run;
  int percent = 100;    // share of its processor time; 100 is the full share
  TimePoint sent_at{};  // not sent
};

// All calls return at once; `done` runs exactly once, later, on a thread of the implementation.
class WorkerCalls {
 public:
  virtual ~WorkerCalls() = default;
  virtual void Heartbeat(const HeartbeatOrder& order, std::function<void(Report)> done) = 0;
  // The worker is asked for a report first on a connection that has not carried one of the order's
  // incarnation. Unless that report names it, the order is not sent, and the answer is kUnreachable
  // or tells why the report was refused.
  virtual void Start(const StartOrder& order, std::function<void(Answer)> done) = 0;
  virtual void Stop(const StopOrder& order, std::function<void(Answer)> done) = 0;
  virtual void Pace(const PaceOrder& order, std::function<void(Answer)> done) = 0;
  // Closes idle connections. An owner that steps down calls it, since workers accept a limited
  // number of connections.
  virtual void Disconnect() {}
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_CALLS_H_
