// How long the pieces of work of the owner's event loop take. The ownership is renewed on the same
// loop, so a piece that outlasts the lease ends it.
#ifndef POMELOPOND_ENTRY_TURN_TIMES_H_
#define POMELOPOND_ENTRY_TURN_TIMES_H_

#include <array>

#include "base/time.h"
#include "metrics/registry.h"

namespace pomelopond::entry {

enum class OwnerWork {
  kDecide,   // decisions of the dispatcher
  kSend,     // sending of orders
  kAnswers,  // one answer of a worker or of the store
  kJobs,     // decoding of stored jobs
  kCommit,   // preparation of a commit
  kSummary,  // regular log lines
};

inline constexpr int kOwnerWorkKinds = 6;

const char* OwnerWorkName(OwnerWork work);

struct TurnTimes {
  Duration slow{};  // pieces that take this long leave a line at once
  // The longest piece of each kind since the last report.
  std::array<Duration, kOwnerWorkKinds> longest{};
};

void RecordPiece(TurnTimes* times, OwnerWork work, Duration took);

// Calls `run` and records how long it takes.
template <class F>
void Measure(TurnTimes* times, OwnerWork work, F run) {
  const TimePoint began = Now();
  run();
  RecordPiece(times, work, Now() - began);
}

// Writes the longest pieces to the log and the metrics, and begins anew.
void ReportPieces(TurnTimes* times, metrics::Registry* metrics);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_TURN_TIMES_H_
