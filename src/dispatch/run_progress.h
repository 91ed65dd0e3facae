// The progress of a run as its worker reports it, and the time at which it is expected to end.
#ifndef POMELOPOND_DISPATCH_RUN_PROGRESS_H_
#define POMELOPOND_DISPATCH_RUN_PROGRESS_H_

#include <optional>

#include "base/time.h"

namespace pomelopond::dispatch {

struct RunProgress {
  // The run begins with the progress of an earlier one, which its first report tells.
  bool resumes = false;
  Duration expected_time{};           // of a run that does not resume; 0: unknown
  int percent = 0;                    // as last reported
  TimePoint reported_at{};            // when that was
  std::optional<TimePoint> first_at;  // when `first_percent` was reached
  int first_percent = 0;
};

// The worker has confirmed the start.
void BeginProgress(RunProgress* progress, TimePoint now);

// A report of the worker tells the progress.
void AddProgress(RunProgress* progress, int percent, TimePoint now);

// By the rate so far, or by the expected time until the rate is known. Nothing if neither is known.
std::optional<TimePoint> ExpectedEnd(const RunProgress& progress);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_RUN_PROGRESS_H_
