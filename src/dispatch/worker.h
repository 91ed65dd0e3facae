// Workers as the dispatcher knows them, their runs, and the answers and reports that they send.
#ifndef POMELOPOND_DISPATCH_WORKER_H_
#define POMELOPOND_DISPATCH_WORKER_H_

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/endpoint.h"
#include "base/resources.h"
#include "jobs/job.h"

namespace pomelopond::dispatch {

// What a worker registers about itself.
struct WorkerInfo {
  std::string id;
  std::string service;  // pool that the worker belongs to
  Endpoint endpoint;
  std::string failure_domain;
  Resources capacity;
  std::set<std::string> labels;  // labels that steps may require
  std::string rack;
  bool draining = false;    // the worker shuts down soon and accepts no new tasks
  int64_t incarnation = 0;  // differs after each restart; 0: not published
  int64_t cold_ms = 0;      // how much longer the worker is slow because it is cold, in ms

  friend bool operator==(const WorkerInfo& a, const WorkerInfo& b) {
    return std::tie(a.id, a.service, a.endpoint, a.failure_domain, a.capacity, a.labels, a.rack,
                    a.draining, a.incarnation, a.cold_ms) ==
           std::tie(b.id, b.service, b.endpoint, b.failure_domain, b.capacity, b.labels, b.rack,
                    b.draining, b.incarnation, b.cold_ms);
  }
  friend bool operator!=(const WorkerInfo& a, const WorkerInfo& b) { return !(a == b); }
};

// One run of a task. The runs of a task have increasing numbers.
struct RunId {
  jobs::TaskId task;
  int64_t run = 0;

  friend bool operator==(const RunId& a, const RunId& b) {
    return std::tie(a.task, a.run) == std::tie(b.task, b.run);
  }
  friend bool operator<(const RunId& a, const RunId& b) {
    return std::tie(a.task, a.run) < std::tie(b.task, b.run);
  }
};

struct ActiveRun {
  RunId id;
  std::string checkpoint;
  int percent = 0;  // progress; 100 for a perpetual task that is ready
  // Tail of the response time in ms for a task with a tail target, else the processor time in use
  // in thousandths of a core.
  int64_t load = 0;
};

// Why a run ended.
enum class EndKind {
  kDone,
  kFailed,          // by a fault of the task or of the worker
  kStopped,         // stopped by an order
  kLeaseExpired,    // the lease expired
  kGangBroken,      // another member of the gang ended
  kGangIncomplete,  // the other members of the gang did not start in time
};

const char* EndKindName(EndKind kind);

struct EndedRun {
  int64_t sequence = 0;  // position in the worker's list of ended runs
  RunId id;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
};

// Outcome of an order.
enum class OrderStatus {
  kAccepted,
  kStaleEpoch,   // the worker follows a later owner
  kStaleRun,     // this run or a later one has already stopped or ended on the worker
  kLeaseTooOld,  // the lease end in the order has passed on the worker's clock
  kNoCapacity,
  kUnhealthy,         // refused by an unhealthy worker, without effect
  kNoPermit,          // the permit is missing or no longer valid
  kInvalid,           // not understood
  kWrongIncarnation,  // another incarnation of the worker answered
  kUnreachable,       // the order was not sent
  kNoAnswer,          // outcome unknown: the order may have taken effect or may still do so
};

// Common part of all answers.
struct Answer {
  OrderStatus status = OrderStatus::kNoAnswer;
  int64_t clock_ms = 0;     // the worker's clock in ms; 0: not reported
  int64_t incarnation = 0;  // 0: not reported
};

// Active runs on a worker and the ended runs that are not acknowledged, oldest first.
struct Report {
  Answer answer;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
  // The worker has more ended runs than fit into the report, or may have.
  bool is_cut = false;
  uint64_t connection = 0;  // that carried the report; 0: not known
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_H_
