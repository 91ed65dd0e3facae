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

}  // namespace

std::string Encode(const WaitingCounts& counts) {
  std::string bytes;
  Json::to_msgpack(Json::array({counts.jobs_revision, counts.by_queue, counts.job_bytes}), bytes);
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
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(counts)};
}

}  // namespace pomelopond::dispatch
