#include "dispatch/colocation.h"

#include <algorithm>

namespace pomelopond::dispatch {
namespace {

constexpr double kMilli = 1000;
// Number of samples after which the slowdown of a pair of images counts fully. It is low because
// best-effort tasks last only seconds: with more samples, an image that interferes would be placed
// many times before its slowdown is known.
constexpr double kPairConfidence = 3;
// Weight of one tail in the moving average without best-effort tasks.
constexpr double kBaselineLearningRate = 0.1;
// Assumed tail of an image that was never observed without best-effort tasks, as a share of its
// target.
constexpr double kBaselinePriorRatio = 0.35;
constexpr int kFullPercent = 100;
// A tail that is longer than the baseline by this factor is taken for that of a slow worker as long
// as the image has shown usual ones within the given time. Otherwise the tails of a few slow
// workers, from which best-effort tasks are kept away, would raise the baseline for all.
constexpr double kUnusualTailRatio = 2.5;
constexpr Duration kUsualTailTime = std::chrono::seconds(10);

double BaselineTailMs(const ColocationModel& model, const RunState& run) {
  const auto it = model.baseline_tail_ms.find(run.image);
  return it == model.baseline_tail_ms.end()
             ? kBaselinePriorRatio * static_cast<double>(run.target_tail_ms)
             : it->second;
}

planning::BatchLoad MeanOf(const planning::BatchLoad& a, const planning::BatchLoad& b) {
  planning::BatchLoad mean;
  for (const auto& [image, cores] : a) mean[image] += cores / 2;
  for (const auto& [image, cores] : b) mean[image] += cores / 2;
  return mean;
}

void LearnBaseline(ColocationModel* model, const RunState& run, double tail, TimePoint now) {
  const double baseline = BaselineTailMs(*model, run);
  const bool known = model->baseline_tail_ms.count(run.image) > 0;
  const auto usual_at = model->usual_tail_at.try_emplace(run.image, now).first;
  const bool usual = !known || tail <= kUnusualTailRatio * baseline;
  if (!usual && now < usual_at->second + kUsualTailTime) return;
  if (usual) usual_at->second = now;
  model->baseline_tail_ms[run.image] = baseline + kBaselineLearningRate * (tail - baseline);
}

// Expected slowdown of tasks of `served` by the best-effort runs of the worker.
double ExpectedSlowdown(const ColocationModel& model, const WorkerState& worker,
                        const std::string& served) {
  double slowdown = 0;
  for (const auto& [id, it] : worker.runs) {
    if (it.best_effort) slowdown += SlowdownByRun(model, served, it);
  }
  return slowdown;
}

ServedImage* FindServed(std::vector<ServedImage>* images, const std::string& image) {
  const auto it = std::find_if(images->begin(), images->end(), [&image](const ServedImage& served) {
    return served.image == image;
  });
  return it == images->end() ? nullptr : &*it;
}

// A placement asks for the tails of many workers for each task, most of which have not changed.
const TailSummary& TailsOf(const ColocationModel& model, const WorkerState& worker) {
  TailSummary& tails = worker.tails;
  if (tails.valid) return tails;
  tails = {};
  tails.valid = true;
  tails.worst_ratio = WorstTailRatio(worker);
  for (const auto& [id, it] : worker.runs) {
    if (it.target_tail_ms <= 0) continue;
    ServedImage* served = FindServed(&tails.images, it.image);
    if (served == nullptr) {
      tails.images.push_back({it.image, 0, ExpectedSlowdown(model, worker, it.image)});
      served = &tails.images.back();
    }
    served->baseline_ratio = std::max(served->baseline_ratio, BaselineTailRatio(model, it));
  }
  return tails;
}

}  // namespace

bool IsServing(const RunState& run) {
  return run.target_tail_ms > 0 && run.phase == RunPhase::kRunning &&
         run.progress.percent == kFullPercent && run.load > 0;
}

double TailRatio(const RunState& run) {
  return run.tail_ms / static_cast<double>(run.target_tail_ms);
}

double BaselineTailRatio(const ColocationModel& model, const RunState& run) {
  return BaselineTailMs(model, run) / static_cast<double>(run.target_tail_ms);
}

const RunState* MostHarmedRun(const WorkerState& worker) {
  const RunState* worst = nullptr;
  for (const auto& [id, it] : worker.runs) {
    if (!IsServing(it)) continue;
    if (worst == nullptr || TailRatio(it) > TailRatio(*worst)) worst = &it;
  }
  return worst;
}

double WorstTailRatio(const WorkerState& worker) {
  const RunState* worst = MostHarmedRun(worker);
  return worst == nullptr ? 0 : TailRatio(*worst);
}

double SlowdownByRun(const ColocationModel& model, const std::string& served, const RunState& run) {
  return static_cast<double>(run.request.cpu_milli) / kMilli *
         planning::SlowdownPerCore(model.slowdown, served, run.image, kPairConfidence);
}

std::vector<SpeedSample> TailSpeeds(const ColocationModel& model, const WorkerState& worker,
                                    TimePoint now) {
  std::vector<SpeedSample> out;
  for (const auto& [id, it] : worker.runs) {
    if (!IsServing(it) || model.baseline_tail_ms.count(it.image) == 0) continue;
    const double speed = BaselineTailMs(model, it) / static_cast<double>(it.load);
    out.push_back({HashOfStep(id.task), id.task.index, kTailImage, speed, now, now});
  }
  return out;
}

void LearnInterference(ColocationModel* model, const WorkerState& worker,
                       const planning::BatchLoad& before, TimePoint now) {
  if (worker.speed.slow) return;
  planning::SlowdownSample sample;
  sample.load = MeanOf(before, worker.best_effort_load);
  for (const auto& [id, it] : worker.runs) {
    if (!IsServing(it)) continue;
    const auto tail = static_cast<double>(it.load);
    if (sample.load.empty()) {
      LearnBaseline(model, it, tail, now);
      continue;
    }
    sample.service_class = it.image;
    sample.slowdown = tail / BaselineTailMs(*model, it) - 1;
    planning::Learn(&model->slowdown, sample, Duration::zero());
  }
}

ImageSlowdowns SlowdownsBy(const ColocationModel& model, const std::string& image) {
  ImageSlowdowns out;
  for (const auto& [pair, estimate] : model.slowdown) {
    if (pair.second != image) continue;
    out[pair.first] = planning::SlowdownPerCore(model.slowdown, pair.first, image, kPairConfidence);
  }
  return out;
}

double ExpectedTailRatio(const ColocationModel& model, const WorkerState& worker,
                         const ImageSlowdowns& slowdowns, double cores) {
  double worst = 0;
  for (const ServedImage& it : TailsOf(model, worker).images) {
    const auto found = slowdowns.find(it.image);
    const double per_core = found == slowdowns.end() ? planning::kPriorSlowdown : found->second;
    worst = std::max(worst, it.baseline_ratio * (1 + it.slowdown + cores * per_core));
  }
  return worst;
}

double ExpectedTailRatio(const ColocationModel& model, const WorkerState& worker,
                         const std::string& image, double cores) {
  return ExpectedTailRatio(model, worker, SlowdownsBy(model, image), cores);
}

double ReportedTailRatio(const ColocationModel& model, const WorkerState& worker) {
  return TailsOf(model, worker).worst_ratio;
}

bool HasLongTail(const ColocationModel& model, const WorkerState& worker) {
  return TailsOf(model, worker).worst_ratio > kHighTailRatio;
}

std::optional<RunId> MostInterferingRun(const ColocationModel& model, const WorkerState& worker) {
  const RunState* served = MostHarmedRun(worker);
  if (served == nullptr) return std::nullopt;
  std::optional<RunId> worst;
  double most = 0;
  for (const auto& [id, it] : worker.runs) {
    if (!it.best_effort || it.phase == RunPhase::kStopping) continue;
    const double slowdown = SlowdownByRun(model, served->image, it);
    if (slowdown <= most) continue;
    most = slowdown;
    worst = id;
  }
  return worst;
}

}  // namespace pomelopond::dispatch
