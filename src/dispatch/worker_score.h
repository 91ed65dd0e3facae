// Which workers have room for a task, and which of them suits it best.
#ifndef POMELOPOND_DISPATCH_WORKER_SCORE_H_
#define POMELOPOND_DISPATCH_WORKER_SCORE_H_

#include <cstdint>
#include <tuple>

#include "base/time.h"
#include "dispatch/placement_request.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// True when the worker has the free capacity for one task.
bool HasCapacityFor(const WorkerState& worker, const PlacementRequest& request);

// True when the reported tails on the worker permit the task.
bool HasShortTails(const WorkerState& worker, const PlacementRequest& request);

// Expected highest ratio of tail latency to target on the worker with the task; 0 for a task that
// harms no tail.
double ExpectedTailRatio(const WorkerState& worker, const PlacementRequest& request);

// The expected tail ratio if it is part of the worker's score, else 0.
double ScoredTailRatio(const WorkerState& worker, const PlacementRequest& request);

// Smaller scores are better. The first part is the sum of the penalties of the worker itself.
using Score = std::tuple<int, bool, bool, bool, int64_t>;

// `tail` is the worker's ScoredTailRatio().
Score ScoreOf(const WorkerState& worker, const PlacementRequest& request, double tail,
              TimePoint now);

// True when no worker later in the order of its index can have a better score.
bool IsBestInOrder(const Score& score, const jobs::Step& step);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_SCORE_H_
