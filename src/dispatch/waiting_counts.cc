#include "dispatch/waiting_counts.h"

#include <utility>

#include "base/integer.h"
#include "base/json.h"
#include "base/result_code.h"
#include "jobs/limits.h"

namespace pomelopond::dispatch {
namespace {

// Largest revision, which no store reaches. One of a damaged record would pass for recent forever.
constexpr int64_t kMaxRevision = 1000000000000000;
// More than any host has.
constexpr int64_t kMaxBytes = 1000000000000000;
// A day.
constexpr int64_t kMaxForecastMs = 86400000;

QueueForecast ForecastOf(const Json& in) {
  QueueForecast out;
  out.wait_ms = RequireWholeNumber(in.at(0), "wait_ms", 0, kMaxForecastMs);
  out.useless_after_ms = RequireWholeNumber(in.at(1), "useless_after_ms", 0, kMaxForecastMs);
  out.drain_ms = RequireWholeNumber(in.at(2), "drain_ms", 0, kMaxForecastMs);
  return out;
}

}  // namespace

std::string Encode(const WaitingCounts& counts) {
  std::string bytes;
  Json out = Json::array({counts.jobs_revision, counts.by_queue, counts.job_bytes});
  // Earlier programs read the first three entries of an array of any length.
  if (!counts.forecasts.empty()) {
    Json forecasts = Json::object();
    for (const auto& [queue, it] : counts.forecasts) {
      forecasts[queue] = {it.wait_ms, it.useless_after_ms, it.drain_ms};
    }
    out.push_back(std::move(forecasts));
  }
  Json::to_msgpack(out, bytes);
  return bytes;
}

Result<WaitingCounts> DecodeWaitingCounts(const std::string& bytes) {
  const Json in = ParseMessagePack(bytes);
  WaitingCounts counts;
  try {
    counts.jobs_revision = RequireWholeNumber(in.at(0), "jobs_revision", 0, kMaxRevision);
    for (const auto& [queue, n] : in.at(1).get_ref<const Json::object_t&>()) {
      counts.by_queue[queue] = static_cast<int>(RequireWholeNumber(n, queue, 0, jobs::kMaxInt));
    }
    // Absent from the counts of earlier versions.
    if (in.size() > 2) {
      counts.job_bytes = RequireWholeNumber(in.at(2), "job_bytes", 0, kMaxBytes);
    }
    if (in.size() > 3) {
      for (const auto& [queue, it] : in.at(3).get_ref<const Json::object_t&>()) {
        counts.forecasts[queue] = ForecastOf(it);
      }
    }
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(counts)};
}

}  // namespace pomelopond::dispatch
