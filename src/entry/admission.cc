#include "entry/admission.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/hash.h"

namespace pomelopond::entry {
namespace {

// The owner writes the forecasts each 0.5 s while they change, hosts read them each second, and a
// stale read lags behind by up to a second.
constexpr Duration kMaxForecastAge = std::chrono::seconds(3);
// A late job is useful up to this multiple of its objective.
constexpr double kUsefulFactor = 3;
// Retry-After of a refused job. Store outages and short bursts last for seconds; beyond the longest
// one, the forecast says little about the backlog.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

// Length of the longest chain of dependent steps by the caller's estimates.
int64_t EstimatedChainMs(const jobs::Job& job) {
  std::vector<int64_t> ends;
  int64_t longest = 0;
  for (const jobs::Step& step : job.steps) {
    int64_t start = 0;
    for (const int it : step.after) start = std::max(start, ends[static_cast<size_t>(it)]);
    ends.push_back(start + step.estimate_ms);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

Admission DecideAdmission(const jobs::Job& job, const KnownForecasts& known) {
  Admission out;
  if (job.occurrences > 0 || jobs::IsPerpetual(job)) return out;
  if (known.counts == nullptr || !known.age || *known.age > kMaxForecastAge) return out;
  const auto forecast = known.counts->forecasts.find(job.rules.queue);
  if (forecast == known.counts->forecasts.end()) return out;
  const auto chain_ms = static_cast<double>(EstimatedChainMs(job));
  const double objective_ms =
      job.rules.stretch * chain_ms + static_cast<double>(job.rules.target_duration_ms);
  const auto own = static_cast<int64_t>(std::max(0.0, kUsefulFactor * objective_ms - chain_ms));
  out.objective_ms = static_cast<int64_t>(objective_ms);
  out.wait_ms = forecast->second.wait_ms;
  out.useless_after_ms = std::max(own, forecast->second.useless_after_ms);
  out.accepted = out.wait_ms <= out.useless_after_ms;
  out.retry_after = std::clamp<Duration>(std::chrono::milliseconds(forecast->second.drain_ms),
                                         kMinRetryAfter, kMaxRetryAfter);
  return out;
}

int64_t SpreadRetryAfter(Duration base, const std::string& key) {
  const int64_t seconds =
      std::max<int64_t>(1, std::chrono::ceil<std::chrono::seconds>(base).count());
  const auto spread = static_cast<uint64_t>(std::max<int64_t>(1, seconds / 2));
  return seconds - seconds / 4 + static_cast<int64_t>(StableHash(key) % (spread + 1));
}

}  // namespace pomelopond::entry
