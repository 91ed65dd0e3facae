// Early refusal of requests that cannot meet their deadline.
#ifndef POMELOPOND_ROUTING_ADMISSION_H_
#define POMELOPOND_ROUTING_ADMISSION_H_

#include <cstdint>

#include "base/time.h"

namespace pomelopond::routing {

// What is known about the answers of one operation of a service.
struct OperationLatency {
  Duration mean{};  // geometric; zero: not known
  int64_t samples = 0;
  TimePoint last_sent{};

  friend bool operator==(const OperationLatency& a, const OperationLatency& b) {
    return a.mean == b.mean && a.samples == b.samples && a.last_sent == b.last_sent;
  }
};

// Adds one answer.
void RecordLatencySample(OperationLatency* latency, Duration sample);

// The queue in front of a new request.
struct QueueEstimate {
  int64_t requests = 0;
  int64_t slots = 0;       // requests that run side by side
  Duration latency{};      // of one request, all operations together
  Duration caller_wait{};  // until the turn of the caller's next request, see
                           // FairQueue::EstimateCallerWait
};

// True when a request of the operation may be queued. Waiting may use half of the time that is left
// beyond the operation's own mean: with the whole of it, every request of an overloaded queue would
// be sent at the last moment and most would miss the deadline.
bool AdmitToQueue(const OperationLatency& operation, const QueueEstimate& estimate,
                  TimePoint deadline, TimePoint now);

// True when a request that has left the queue may be sent. Half of the mean is the least time: with
// lognormal times (sigma 1) one request in four takes less.
bool AdmitToTarget(const OperationLatency& operation, TimePoint deadline, TimePoint now);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_ADMISSION_H_
