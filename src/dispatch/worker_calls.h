// The calls that the owner of a pool makes to workers. Implementations are adapters and stand-ins.
#ifndef POMELOPOND_DISPATCH_WORKER_CALLS_H_
#define POMELOPOND_DISPATCH_WORKER_CALLS_H_

#include <functional>
#include <string>

#include "base/time.h"
#include "dispatch/worker.h"

namespace pomelopond::dispatch {

// Identifies the worker that an order is for. Another incarnation refuses it.
struct WorkerAddress {
  std::string worker;
  Endpoint endpoint;
};

struct HeartbeatOrder {
  WorkerAddress to;
  int64_t epoch = 0;
  int64_t lease_end_ms = 0;  // on the worker's clock; 0: extends nothing
  int64_t acknowledged = 0;  // ends up to this position may be forgotten
  Duration wait{};           // how long the answer may wait for an end
};

struct StartOrder {
  WorkerAddress to;
  int64_t epoch = 0;
  int64_t lease_end_ms = 0;
  RunId run;
  std::string spec;
  std::string checkpoint;  // empty: from the beginning
  std::string permit;      // empty: the queue needs none
};

struct StopOrder {
  WorkerAddress to;
  int64_t epoch = 0;
  RunId run;
};

struct PaceOrder {
  WorkerAddress to;
  int64_t epoch = 0;
  RunId run;
  int percent = 100;
};

// All calls return at once; `done` runs once, later, on a thread of the implementation.
class WorkerCalls {
 public:
  virtual ~WorkerCalls() = default;
  virtual void Heartbeat(const HeartbeatOrder& order, std::function<void(Report)> done) = 0;
  virtual void Start(const StartOrder& order, std::function<void(Answer)> done) = 0;
  virtual void Stop(const StopOrder& order, std::function<void(Answer)> done) = 0;
  virtual void Pace(const PaceOrder& order, std::function<void(Answer)> done) = 0;
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_CALLS_H_
