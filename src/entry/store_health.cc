#include "entry/store_health.h"

#include "base/log.h"

namespace pomelopond::entry {
namespace {

constexpr int kFailuresUntilAway = 3;
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

}  // namespace

void StoreHealth::OnAnswer() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (failures_ >= kFailuresUntilAway) Log(LogLevel::kInfo, "store", "store_regained");
  failures_ = 0;
}

void StoreHealth::OnFailure() {
  const std::lock_guard<std::mutex> lock(mutex_);
  failures_ += 1;
  if (failures_ == kFailuresUntilAway) Log(LogLevel::kWarn, "store", "store_lost");
}

bool StoreHealth::Answers() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return failures_ < kFailuresUntilAway;
}

bool StoreHealth::MayCall(TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (failures_ < kFailuresUntilAway) return true;
  if (now < next_probe_) return false;
  next_probe_ = now + kProbeInterval;
  return true;
}

}  // namespace pomelopond::entry
