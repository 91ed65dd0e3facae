#include "entry/revision_history.h"

#include <algorithm>

namespace pomelopond::entry {
namespace {

constexpr Duration kRetention = std::chrono::seconds(10);
// Calls that follow each other faster add no bound, so their number does not grow with the calls.
constexpr Duration kMinInterval = std::chrono::milliseconds(50);

}  // namespace

void RevisionHistory::Record(TimePoint sent, int64_t revision) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!bounds_.empty() && sent < bounds_.back().time + kMinInterval) return;
  while (!bounds_.empty() && bounds_.front().time + kRetention < sent) bounds_.pop_front();
  bounds_.push_back({sent, revision});
}

std::optional<Duration> RevisionHistory::MaxAge(int64_t revision, TimePoint now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto newest = std::find_if(bounds_.rbegin(), bounds_.rend(),
                                   [&](const Bound& it) { return it.revision <= revision; });
  if (newest == bounds_.rend() || now - newest->time > kRetention) return std::nullopt;
  return now - newest->time;
}

}  // namespace pomelopond::entry
