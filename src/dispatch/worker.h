// Workers as the dispatcher sees them, and the orders and reports exchanged with them.
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

// What a worker publishes about itself.
struct WorkerInfo {
  std::string id;
  std::string service;  // the pool it belongs to
  Endpoint endpoint;
  std::string failure_domain;
  Resources capacity;
  std::set<std::string> labels;  // what steps may require
  std::string rack;
  bool draining = false;    // it leaves soon and takes no new tasks
  int64_t incarnation = 0;  // differs after each restart; 0: not published

  friend bool operator==(const WorkerInfo& a, const WorkerInfo& b) {
    return std::tie(a.id, a.service, a.endpoint, a.failure_domain, a.capacity, a.labels, a.rack,
                    a.draining, a.incarnation) == std::tie(b.id, b.service, b.endpoint,
                                                           b.failure_domain, b.capacity, b.labels,
                                                           b.rack, b.draining, b.incarnation);
  }
  friend bool operator!=(const WorkerInfo& a, const WorkerInfo& b) { return !(a == b); }
};

// One run of a task. Runs of a task have rising numbers.
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
  int percent = 0;   // progress; 100 for a perpetual task at work
  int64_t load = 0;  // response time tail in ms of a task with a target, else thousandths of a core
};

enum class EndKind {
  kDone,
  kFailed,          // by its own fault or the worker's
  kStopped,         // ordered
  kLeaseExpired,    // the lease expired
  kGangBroken,      // another member of the gang ended
  kGangIncomplete,  // the other members of the gang did not come
};

struct EndedRun {
  int64_t sequence = 0;  // position in the worker's list of ends
  RunId id;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
};

// How an order ended.
enum class OrderStatus {
  kAccepted,
  kStaleEpoch,   // the worker follows a later owner
  kStaleRun,     // this run or a later one has stopped or ended there
  kLeaseTooOld,  // the lease time in the order has passed on the worker's clock
  kNoCapacity,
  kUnhealthy,         // refused, nothing was done
  kNoPermit,          // the permit is missing or not valid any more
  kInvalid,           // not understood
  kWrongIncarnation,  // another incarnation answered
  kUnreachable,       // nothing was sent
  kNoAnswer,          // it may have been carried out, or may still be
};

// The part that all answers share.
struct Answer {
  OrderStatus status = OrderStatus::kNoAnswer;
  int64_t clock_ms = 0;     // the worker's clock; 0: not told
  int64_t incarnation = 0;  // 0: not told
};

// What a worker holds: active runs and all ends that were not acknowledged, oldest first.
struct Report {
  Answer answer;
  std::vector<ActiveRun> active;
  std::vector<EndedRun> ended;
};

// The most ends that one report lists.
inline constexpr size_t kMaxReportedEnds = 500;

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_H_
