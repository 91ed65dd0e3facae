// Processor shares of best-effort runs beside latency-critical ones. Runs that lengthen a tail over
// its target are slowed down and go on; all are paused only while the tail stays over it.
#ifndef POMELOPOND_DISPATCH_PACE_H_
#define POMELOPOND_DISPATCH_PACE_H_

#include <vector>

#include "base/time.h"
#include "dispatch/colocation.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// Processor shares in percent. A run has the full one when it starts.
inline constexpr int kFullPace = 100;
inline constexpr int kLowPace = 20;

struct PaceChange {
  RunId id;
  int pace = kFullPace;

  friend bool operator==(const PaceChange& a, const PaceChange& b) {
    return a.id == b.id && a.pace == b.pace;
  }
  friend bool operator!=(const PaceChange& a, const PaceChange& b) { return !(a == b); }
};

// True when the next tails of the worker may change the pace of a best-effort run on it: a run has
// less than its full share, or a tail is too long to raise one.
bool MayNeedPace(const WorkerState& worker);

// Updates from the worker's last report since when one of its tails has been too long.
void UpdateLongTail(WorkerState* worker, TimePoint now);

// True when a tail has stayed too long although runs are slowed down.
bool HasPersistentTail(const WorkerState& worker, TimePoint now);

// The best-effort runs on the worker that get another share after its last report.
std::vector<PaceChange> PaceChanges(const ColocationModel& model, const WorkerState& worker,
                                    TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_PACE_H_
