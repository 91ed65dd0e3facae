#include "dispatch/run_progress.h"

namespace pomelopond::dispatch {
namespace {

constexpr int kFullPercent = 100;
// Before this time the rate is not known well: progress may begin with a jump.
constexpr Duration kMinRateTime = std::chrono::milliseconds(400);

}  // namespace

void BeginProgress(RunProgress* progress, TimePoint now) {
  if (!progress->resumes) progress->first_at = now;
}

void AddProgress(RunProgress* progress, int percent, TimePoint now) {
  progress->percent = percent;
  progress->reported_at = now;
  if (progress->first_at) return;
  progress->first_at = now;
  progress->first_percent = percent;
}

std::optional<TimePoint> ExpectedEnd(const RunProgress& progress) {
  if (!progress.first_at) return std::nullopt;
  const int gained = progress.percent - progress.first_percent;
  const Duration taken = progress.reported_at - *progress.first_at;
  if (gained > 0 && taken >= kMinRateTime) {
    return progress.reported_at + taken * (kFullPercent - progress.percent) / gained;
  }
  if (progress.resumes || progress.expected_time == Duration::zero()) return std::nullopt;
  return *progress.first_at + progress.expected_time;
}

}  // namespace pomelopond::dispatch
