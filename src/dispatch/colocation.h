// How tasks that serve users and tasks that fill share a worker: what is learned from reported
// tails, and which filling tasks have to give way.
#ifndef POMELOPOND_DISPATCH_COLOCATION_H_
#define POMELOPOND_DISPATCH_COLOCATION_H_

#include <map>
#include <optional>
#include <string>

#include "dispatch/worker_table.h"
#include "planning/interference.h"

namespace pomelopond::dispatch {

// What is known of the images of a pool.
struct ColocationModel {
  planning::InterferenceTable slowdown;            // by serving image and filling image
  std::map<std::string, double> baseline_tail_ms;  // by serving image, without filling tasks, in ms
};

// Filling tasks join a worker when its tails are expected to stay below this share of their target.
inline constexpr double kMaxExpectedTailRatio = 0.8;
// Filling tasks work at half pace, and no more of them join, while a tail is above this share.
inline constexpr double kHighTailRatio = 0.9;

// The worst tail of a worker's serving tasks, as a share of its target.
double WorstTailRatio(const WorkerState& worker);

// Learns from the worker's latest report; `before` is the filling load at the one before, since a
// tail covers some of the time between the two.
void LearnInterference(ColocationModel* model, const WorkerState& worker,
                       const planning::BatchLoad& before);

// The worst tail to expect, as a share of its target, when a filling task of `image` with `cores`
// joins the worker.
double ExpectedTailRatio(const ColocationModel& model, const WorkerState& worker,
                         const std::string& image, double cores);

// The filling run that is expected to slow the worst serving task most, if there is one.
std::optional<RunId> MostInterferingRun(const ColocationModel& model, const WorkerState& worker);

// The share of processor time that a filling run should get.
int PaceFor(int pace, double tail);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_COLOCATION_H_
