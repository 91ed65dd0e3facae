// Colocation of latency-critical and best-effort tasks on a worker: a model of their interference,
// learned from reported tail latencies.
#ifndef POMELOPOND_DISPATCH_COLOCATION_H_
#define POMELOPOND_DISPATCH_COLOCATION_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/worker_table.h"
#include "planning/interference.h"

namespace pomelopond::dispatch {

// Interference between the images of a pool.
struct ColocationModel {
  planning::InterferenceTable slowdown;  // by latency-critical image and best-effort image
  // Tail latency by latency-critical image when no best-effort task runs beside it.
  std::map<std::string, double> baseline_tail_ms;
  // When such a tail was last seen that was not several times as long as the baseline, by image.
  std::map<std::string, TimePoint> usual_tail_at;
};

// A best-effort task is placed on a worker only if the expected tails stay at or below this share
// of their targets.
inline constexpr double kMaxExpectedTailRatio = 0.8;
// The same for a run that its job is owed: no tail is expected to miss its target.
inline constexpr double kMaxOwedTailRatio = 1;
// While a tail is above this share of its target, no best-effort task is placed on the worker, but
// for owed runs.
inline constexpr double kHighTailRatio = 0.9;

// True for a latency-critical run that is ready and has reported a tail.
bool IsServing(const RunState& run);

// Ratio of the run's smoothed tail latency to its target, and the one expected without best-effort
// tasks beside it.
double TailRatio(const RunState& run);
double BaselineTailRatio(const ColocationModel& model, const RunState& run);

// The latency-critical run of the worker with the highest tail ratio, or null.
const RunState* MostHarmedRun(const WorkerState& worker);

// Highest ratio of tail latency to target among the latency-critical tasks of the worker.
double WorstTailRatio(const WorkerState& worker);

// Updates the model from the worker's latest report. `before` is the best-effort load at the
// previous report; the model uses the mean of both, as a tail covers part of the time between them.
// Slow workers teach nothing: their tails are long whatever runs beside them.
void LearnInterference(ColocationModel* model, const WorkerState& worker,
                       const planning::BatchLoad& before, TimePoint now);

// The ratios of the baseline to the reported tail of the worker's latency-critical runs, as samples
// of its speed. Meaningful only if no best-effort task has run beside them.
std::vector<SpeedSample> TailSpeeds(const ColocationModel& model, const WorkerState& worker,
                                    TimePoint now);

// Expected slowdown per core of one best-effort image, by latency-critical image. Images that are
// not in it have not been observed together.
using ImageSlowdowns = std::unordered_map<std::string, double>;

ImageSlowdowns SlowdownsBy(const ColocationModel& model, const std::string& image);

// Expected highest ratio of tail latency to target if a best-effort task with `cores` joins the
// worker, whose image has `slowdowns`. The slowdown by the present runs is that of the model at the
// last change of the worker's runs or loads.
double ExpectedTailRatio(const ColocationModel& model, const WorkerState& worker,
                         const ImageSlowdowns& slowdowns, double cores);
// The same for an image.
double ExpectedTailRatio(const ColocationModel& model, const WorkerState& worker,
                         const std::string& image, double cores);

// Highest reported ratio of a tail to its target on the worker.
double ReportedTailRatio(const ColocationModel& model, const WorkerState& worker);

// True when a tail on the worker is above kHighTailRatio.
bool HasLongTail(const ColocationModel& model, const WorkerState& worker);

// Expected slowdown of tasks of the image `served` by the best-effort run at its full share.
double SlowdownByRun(const ColocationModel& model, const std::string& served, const RunState& run);

// The best-effort run that is expected to slow down the latency-critical task with the highest tail
// ratio most, if any.
std::optional<RunId> MostInterferingRun(const ColocationModel& model, const WorkerState& worker);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_COLOCATION_H_
