// The speed of workers, measured by the progress of their runs and compared with that of the same
// images on other workers.
#ifndef POMELOPOND_DISPATCH_WORKER_SPEED_H_
#define POMELOPOND_DISPATCH_WORKER_SPEED_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "jobs/job.h"

namespace pomelopond::dispatch {

// Measures one run. The speed is the ratio of the estimated to the actual duration.
struct SpeedMeter {
  bool begun = false;
  int percent = 0;     // progress at the begin of the present period
  Duration elapsed{};  // in the present period
  Duration worked{};   // of that, time corrected for pauses and for processor time not received
  TimePoint until{};   // end of the present period so far
  double speed = -1;   // in the last complete period; negative: none is complete
};

// Begins or continues the measurement.
void BeginMeter(SpeedMeter* meter, int percent, TimePoint now);

// Advances the meter to `percent`. The run got `share` of the processor time that it requests since
// the last report. `expected_ms` is the expected duration of the task. Returns true when a period
// is complete, so that `speed` is new. The end of the run completes a shorter period.
bool AdvanceMeter(SpeedMeter* meter, int percent, double share, int64_t estimate_ms,
                  double expected_ms, bool ended, TimePoint now);

// Identifies an image of a service in a SpeedModel.
using ImageIndex = size_t;
inline constexpr ImageIndex kNoImage = static_cast<ImageIndex>(-1);
// Of samples that are relative to what is expected already: the tails of latency-critical runs.
inline constexpr ImageIndex kTailImage = 0;

// Identifies the step of a task in samples.
size_t HashOfStep(const jobs::TaskId& id);

// The last measurement of the runs of one step on a worker. Estimates are wrong for all tasks of a
// step alike, so they count as one.
struct SpeedSample {
  size_t step = 0;  // hash of the job and the step
  int task = 0;     // index of the measured task
  ImageIndex image = kNoImage;
  double speed = 0;
  TimePoint at{};
  TimePoint since{};  // when the task was first measured at about this speed or a lower one
};

// What is known of the speed of a worker.
struct WorkerSpeed {
  std::vector<SpeedSample> samples;  // oldest first
  // The verdict.
  bool slow = false;
  double relative = 1;      // median speed relative to peers, while it is slow
  TimePoint slow_since{};   // when the verdict was reached
  TimePoint slow_until{};   // the verdict ends then without new evidence
  TimePoint next_probe{};   // a slow worker gets no run as a probe before
  bool is_avoided = false;  // it is slow, and decisions take this into account
};

void AddSample(WorkerSpeed* worker, const SpeedSample& sample);

// Typical speeds of the images on the workers of each service.
struct SpeedModel {
  std::unordered_map<std::string, ImageIndex> images;
  std::vector<double> references = {1};  // by image; 0: unknown
  TimePoint next_update{};
  int slow_workers = 0;  // at the last update
};

// Returns kNoImage when the model is full.
ImageIndex IndexOfImage(SpeedModel* model, const std::string& service, const std::string& image);

// Speed relative to the typical one of the image, or a negative value if that is unknown.
double RelativeSpeed(const SpeedModel& model, ImageIndex image, double speed);

inline constexpr Duration kSpeedInterval = std::chrono::milliseconds(250);

// A worker's verdict that has changed.
struct VerdictChange {
  size_t worker = 0;  // position among the workers
  size_t samples = 0;
  double relative = 1;  // speed before the change
};

// Computes the typical speeds from the recent samples of the workers of all services, and then the
// verdicts. Returns the changed ones.
std::vector<VerdictChange> UpdateSpeeds(SpeedModel* model, const std::vector<WorkerSpeed*>& workers,
                                        TimePoint now);

// True when a run may start on the slow worker to find out whether it still is slow. `movable`: the
// run is easily moved to another worker.
bool MayProbe(const WorkerSpeed& worker, bool movable, TimePoint now);
void RecordStartOnSlowWorker(WorkerSpeed* worker, TimePoint now);

// Speed that runs on the worker are expected to have, relative to its peers; at most 1.
double ExpectedSpeed(const WorkerSpeed& worker);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_SPEED_H_
