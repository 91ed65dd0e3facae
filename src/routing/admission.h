// Provides admission control, which refuses requests early when they cannot meet their deadline.
#ifndef POMELOPOND_ROUTING_ADMISSION_H_
#define POMELOPOND_ROUTING_ADMISSION_H_

#include <cstdint>

#include "base/time.h"

namespace pomelopond::routing {

// The latency estimate of one operation of a service.
struct OperationLatency {
  Duration mean{};        // geometric mean of the answer times; zero: unknown
  int64_t samples = 0;    // number of answers in `mean`
  TimePoint last_sent{};  // when the last request of the operation was sent

  friend bool operator==(const OperationLatency& a, const OperationLatency& b) {
    return a.mean == b.mean && a.samples == b.samples && a.last_sent == b.last_sent;
  }
};

// Adds the answer time of one request to the estimate.
void RecordLatencySample(OperationLatency* latency, Duration sample);

// The queue in front of a new request, which determines the estimate of its wait.
struct QueueEstimate {
  int64_t requests = 0;    // requests that are served before the new one
  int64_t slots = 0;       // requests that can run concurrently
  Duration latency{};      // mean latency of a request over all operations
  Duration caller_wait{};  // wait for the caller's turn, see FairQueue::EstimateCallerWait
};

// Returns true when a request of the operation may be queued. The estimated wait may use at most
// half of the time to the deadline that remains after the operation's own mean: if it could use all
// of it, an overloaded queue would send every request at the last moment and most requests would
// miss their deadline.
bool AdmitToQueue(const OperationLatency& operation, const QueueEstimate& estimate,
                  TimePoint deadline, TimePoint now);

// Returns true when a request at the head of the queue may be sent. At least half of the
// operation's mean must remain to the deadline: with lognormal service times (sigma 1) one request
// in four takes less than that.
bool AdmitToTarget(const OperationLatency& operation, TimePoint deadline, TimePoint now);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_ADMISSION_H_
