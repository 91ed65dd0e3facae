// Stored numbers of pending jobs, which hosts give to callers, and forecasts of their waits.
#ifndef POMELOPOND_DISPATCH_WAITING_COUNTS_H_
#define POMELOPOND_DISPATCH_WAITING_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "base/result.h"

namespace pomelopond::dispatch {

// What a new job of a queue has to expect.
struct QueueForecast {
  int64_t wait_ms = 0;  // expected wait for room
  int64_t useless_after_ms =
      0;                 // a job of the queue that waits longer completes too late to be of use
  int64_t drain_ms = 0;  // expected time until the present backlog has got room

  friend bool operator==(const QueueForecast& a, const QueueForecast& b) {
    return std::tie(a.wait_ms, a.useless_after_ms, a.drain_ms) ==
           std::tie(b.wait_ms, b.useless_after_ms, b.drain_ms);
  }
};

struct WaitingCounts {
  // The counts take in all jobs that were accepted up to this revision of the store. A reader
  // bounds the age of the counts by it.
  int64_t jobs_revision = 0;
  // Jobs without a started task, by queue. Queues without such jobs are absent.
  std::map<std::string, int> by_queue;
  // Largest memory, in bytes, that all these jobs together take in the owner.
  int64_t job_bytes = 0;
  // Queues whose jobs wait for room (dispatch/wait_forecast.h). The record holds none if it is
  // empty or written by an earlier program.
  std::map<std::string, QueueForecast> forecasts;

  friend bool operator==(const WaitingCounts& a, const WaitingCounts& b) {
    return std::tie(a.jobs_revision, a.by_queue, a.job_bytes, a.forecasts) ==
           std::tie(b.jobs_revision, b.by_queue, b.job_bytes, b.forecasts);
  }
  friend bool operator!=(const WaitingCounts& a, const WaitingCounts& b) { return !(a == b); }
};

std::string Encode(const WaitingCounts& counts);
// Returns kStoreBadAnswer for malformed input.
Result<WaitingCounts> DecodeWaitingCounts(const std::string& bytes);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WAITING_COUNTS_H_
