#include "dispatch/worker_speed.h"

#include <algorithm>
#include <utility>

namespace pomelopond::dispatch {
namespace {

constexpr double kFullPercent = 100;
// Shortest period of a measurement. Progress may begin with a jump, and reports are handled late by
// a busy owner.
constexpr Duration kMinPeriod = std::chrono::milliseconds(400);
constexpr Duration kMinLastPeriod = std::chrono::milliseconds(150);
// A period of a run lasts until its progress is known to a quarter: it is reported in percent.
constexpr int kMinGain = 4;
// A run that has gained less is measured after this share of its expected duration.
constexpr double kMinShareOfDuration = 0.1;
// Runs that got less of the processor time that they request tell nothing.
constexpr double kMinProcessorShare = 0.25;

// Samples of a worker: more than the runs that it has at one time in most pools.
constexpr size_t kMaxSamples = 16;
// Another task of the same step replaces a higher speed only after this time.
constexpr Duration kSampleOfStepTime = std::chrono::seconds(1);
// Runs that are slow on a worker are reported each second, so that older samples tell nothing of
// its present speed.
constexpr Duration kSampleAge = std::chrono::seconds(5);
// Typical speeds are computed from newer samples, so that they follow a slowdown of all workers
// before the verdicts do.
constexpr Duration kReferenceAge = std::chrono::seconds(2);
// A task whose speed falls below this share of the earlier one has become slow.
constexpr double kSpeedDrop = 0.6;
// An image's typical speed is known once it has run on this many workers at the same time.
constexpr size_t kMinPeers = 4;
constexpr size_t kMaxImages = 10000;

// Workers that are slower than this by a factor of more than two cost callers their objectives of
// 1.5 to 2 times the duration.
constexpr double kSlowRatio = 0.4;
constexpr double kNormalRatio = 0.6;
// Verdict: so many more slow steps than normal ones. Three of 100 tasks take several times as long
// as others; with a score of 3, a load of 350 workers led to two false verdicts in 30 s, with 4 to
// none. A group of workers that become slow at one time is no coincidence, so 3 is enough there.
constexpr int kSlowScore = 4;
constexpr int kSlowScoreInGroup = 3;
constexpr int kGroup = 4;
constexpr int kMaxScore = 5;
// So many normal steps in a row end the verdict.
constexpr int kNormalsToClear = 2;
constexpr Duration kVerdictTime = std::chrono::seconds(8);
constexpr Duration kProbeInterval = std::chrono::seconds(3);
// A run that can't be moved suffers from a probe, so it becomes one only after this further delay.
constexpr Duration kLastProbeDelay = std::chrono::seconds(5);
constexpr double kMinSpeed = 0.05;

double MedianOf(std::vector<double>* values) {
  const auto middle = values->begin() + static_cast<std::ptrdiff_t>(values->size() / 2);
  std::nth_element(values->begin(), middle, values->end());
  return *middle;
}

bool IsNewestOfImage(const std::vector<SpeedSample>& samples, size_t n) {
  return std::none_of(samples.begin() + static_cast<std::ptrdiff_t>(n) + 1, samples.end(),
                      [&](const SpeedSample& it) { return it.image == samples[n].image; });
}

// Each worker counts once for each image: runs on slow workers last longer, so that most runs may
// be on them.
void UpdateReferences(SpeedModel* model, const std::vector<WorkerSpeed*>& workers, TimePoint now) {
  std::vector<std::vector<double>> speeds(model->references.size());
  for (const WorkerSpeed* worker : workers) {
    for (size_t n = 0; n < worker->samples.size(); ++n) {
      const SpeedSample& it = worker->samples[n];
      if (it.at + kReferenceAge < now || !IsNewestOfImage(worker->samples, n)) continue;
      speeds[it.image].push_back(it.speed);
    }
  }
  for (size_t n = kTailImage + 1; n < speeds.size(); ++n) {
    if (speeds[n].size() >= kMinPeers) model->references[n] = MedianOf(&speeds[n]);
  }
}

struct Evidence {
  int score = 0;           // as far as the newest samples tell
  int normals_in_row = 0;  // newest samples since the verdict
  TimePoint last_slow{};
  std::vector<double> slow;  // relative speeds
};

// A measurement counts from the time at which it became slow, or at which it was last normal. A
// task that is slow by itself is slow from its begin, and runs that are normal later clear the
// worker.
struct Measured {
  TimePoint counts_at{};
  TimePoint at{};
  double relative = 0;
};

std::vector<Measured> MeasurementsOf(const SpeedModel& model, const WorkerSpeed& worker) {
  std::vector<Measured> out;
  for (const SpeedSample& it : worker.samples) {
    const double relative = RelativeSpeed(model, it.image, it.speed);
    if (relative < 0) continue;
    out.push_back({relative <= kSlowRatio ? it.since : it.at, it.at, relative});
  }
  std::sort(out.begin(), out.end(),
            [](const Measured& a, const Measured& b) { return a.counts_at < b.counts_at; });
  return out;
}

Evidence EvidenceOf(const SpeedModel& model, const WorkerSpeed& worker) {
  Evidence out;
  for (const Measured& it : MeasurementsOf(model, worker)) {
    if (it.relative <= kSlowRatio) {
      out.score = std::min(out.score + 1, kMaxScore);
      out.normals_in_row = 0;
      out.last_slow = std::max(out.last_slow, it.at);
      out.slow.push_back(it.relative);
    } else if (it.relative >= kNormalRatio) {
      out.score = std::max(out.score - 1, 0);
      out.normals_in_row += it.at > worker.slow_since ? 1 : 0;
    }
  }
  return out;
}

bool IsSlowBy(const WorkerSpeed& worker, const Evidence& evidence, int score, TimePoint now) {
  if (!worker.slow) return evidence.score >= score;
  return evidence.normals_in_row < kNormalsToClear && now < worker.slow_until;
}

// Returns true when the verdict has changed.
bool UpdateVerdict(WorkerSpeed* worker, Evidence evidence, int score, TimePoint now) {
  const bool was_slow = worker->slow;
  const TimePoint until = evidence.last_slow + kVerdictTime;
  if (!evidence.slow.empty()) worker->slow_until = std::max(worker->slow_until, until);
  worker->slow = IsSlowBy(*worker, evidence, score, now);
  if (worker->slow && !was_slow) {
    worker->slow_since = now;
    worker->next_probe = now + kProbeInterval;
  }
  if (worker->slow && !evidence.slow.empty()) worker->relative = MedianOf(&evidence.slow);
  return worker->slow != was_slow;
}

void EndVerdict(WorkerSpeed* worker) {
  worker->slow = false;
  worker->is_avoided = false;
  worker->relative = 1;
  worker->slow_until = TimePoint{};
  worker->samples.clear();
}

void DropOldSamples(WorkerSpeed* worker, TimePoint now) {
  std::vector<SpeedSample>& samples = worker->samples;
  const auto fresh = std::find_if(samples.begin(), samples.end(), [now](const SpeedSample& it) {
    return it.at + kSampleAge >= now;
  });
  samples.erase(samples.begin(), fresh);
}

}  // namespace

size_t HashOfStep(const jobs::TaskId& id) {
  const auto place = static_cast<size_t>(id.occurrence) * 1000 + static_cast<size_t>(id.step);
  return std::hash<std::string>()(id.job) * 31 + place;
}

void BeginMeter(SpeedMeter* meter, int percent, TimePoint now) {
  meter->begun = true;
  meter->percent = percent;
  meter->elapsed = Duration{};
  meter->worked = Duration{};
  meter->until = now;
}

bool AdvanceMeter(SpeedMeter* meter, int percent, double share, int64_t estimate_ms,
                  double expected_ms, bool ended, TimePoint now) {
  const Duration passed = now - meter->until;
  meter->until = now;
  meter->elapsed += passed;
  meter->worked += std::chrono::duration_cast<Duration>(passed * std::min(share, 1.0));
  if (meter->elapsed < (ended ? kMinLastPeriod : kMinPeriod)) return false;
  const int gained = percent - meter->percent;
  const double worked_ms = static_cast<double>(meter->worked.count()) / 1000;
  const bool known = gained >= kMinGain || worked_ms >= kMinShareOfDuration * expected_ms;
  if (!known && !ended) return false;
  const bool starved = meter->worked < meter->elapsed * kMinProcessorShare;
  BeginMeter(meter, percent, now);
  if (starved || estimate_ms <= 0) return false;
  meter->speed = std::max(0, gained) / kFullPercent * static_cast<double>(estimate_ms) / worked_ms;
  return true;
}

void AddSample(WorkerSpeed* worker, const SpeedSample& sample) {
  std::vector<SpeedSample>& samples = worker->samples;
  TimePoint since = sample.at;
  const auto known = std::find_if(samples.begin(), samples.end(),
                                  [&](const SpeedSample& it) { return it.step == sample.step; });
  if (known != samples.end()) {
    // A normal run beside a slow one tells that the task is slow, not the worker.
    const bool recent = sample.at < known->at + kSampleOfStepTime;
    if (known->task != sample.task && recent && sample.speed < known->speed) return;
    const bool same = known->task == sample.task && sample.speed >= kSpeedDrop * known->speed;
    if (same) since = known->since;
    samples.erase(known);
  }
  if (samples.size() >= kMaxSamples) samples.erase(samples.begin());
  samples.push_back(sample);
  samples.back().since = since;
}

ImageIndex IndexOfImage(SpeedModel* model, const std::string& service, const std::string& image) {
  const std::string key = service + '\n' + image;
  const auto known = model->images.find(key);
  if (known != model->images.end()) return known->second;
  if (image.empty() || model->images.size() >= kMaxImages) return kNoImage;
  model->references.push_back(0);
  return model->images.emplace(key, model->references.size() - 1).first->second;
}

double RelativeSpeed(const SpeedModel& model, ImageIndex image, double speed) {
  if (image >= model.references.size() || model.references[image] <= 0) return -1;
  return speed / model.references[image];
}

std::vector<VerdictChange> UpdateSpeeds(SpeedModel* model, const std::vector<WorkerSpeed*>& workers,
                                        TimePoint now) {
  std::vector<VerdictChange> changes;
  for (WorkerSpeed* it : workers) DropOldSamples(it, now);
  UpdateReferences(model, workers, now);
  std::vector<Evidence> evidence;
  int suspected = 0;
  for (const WorkerSpeed* it : workers) {
    evidence.push_back(it->samples.empty() ? Evidence{} : EvidenceOf(*model, *it));
    suspected += evidence.back().score >= kSlowScoreInGroup ? 1 : 0;
  }
  const int score = suspected >= kGroup ? kSlowScoreInGroup : kSlowScore;
  model->slow_workers = 0;
  for (size_t n = 0; n < workers.size(); ++n) {
    WorkerSpeed* it = workers[n];
    if (!it->slow && it->samples.empty()) continue;
    const double before = it->relative;
    if (UpdateVerdict(it, std::move(evidence[n]), score, now)) {
      changes.push_back({n, it->samples.size(), it->slow ? it->relative : before});
      if (!it->slow) EndVerdict(it);
    }
    model->slow_workers += it->slow ? 1 : 0;
  }
  return changes;
}

bool MayProbe(const WorkerSpeed& worker, bool movable, TimePoint now) {
  return now >= worker.next_probe + (movable ? Duration{} : kLastProbeDelay);
}

void RecordStartOnSlowWorker(WorkerSpeed* worker, TimePoint now) {
  if (worker->slow) worker->next_probe = now + kProbeInterval;
}

double ExpectedSpeed(const WorkerSpeed& worker) {
  return worker.is_avoided ? std::clamp(worker.relative, kMinSpeed, 1.0) : 1.0;
}

}  // namespace pomelopond::dispatch
