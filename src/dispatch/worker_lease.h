// The clock of a worker, as its answers tell, and its longest lease.
#ifndef POMELOPOND_DISPATCH_WORKER_LEASE_H_
#define POMELOPOND_DISPATCH_WORKER_LEASE_H_

#include "base/time.h"
#include "dispatch/worker_calls.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

struct DispatchLimits;

// Longest time for which a worker grants a lease, by the local clock.
Duration LongestLease(const DispatchLimits& limits);

// Takes the clock from a report. Answers to orders don't tell whose clock they show.
void RecordClock(WorkerState* worker, const Answer& answer, TimePoint now);

// True when the answer to an order that was sent at `sent` or later shows a clock that the
// incarnation which sent the last report can't have shown, so a later incarnation has sent it.
bool IsClockBehind(const WorkerState& worker, const Answer& answer, TimePoint sent);

// A later incarnation has answered: nothing is started on the worker until its next report.
void AwaitReport(WorkerState* worker, const Answer& answer, TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_LEASE_H_
