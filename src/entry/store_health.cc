#include "entry/store_health.h"

#include "base/log.h"

namespace pomelopond::entry {
namespace {

constexpr int kFailureThreshold = 3;
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);

}  // namespace

void StoreHealth::OnSuccess() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (consecutive_failures_ >= kFailureThreshold) Log(LogLevel::kInfo, "store", "store_regained");
  consecutive_failures_ = 0;
}

void StoreHealth::OnFailure() {
  const std::lock_guard<std::mutex> lock(mutex_);
  consecutive_failures_ += 1;
  if (consecutive_failures_ == kFailureThreshold) Log(LogLevel::kWarn, "store", "store_lost");
}

bool StoreHealth::IsAvailable() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return consecutive_failures_ < kFailureThreshold;
}

bool StoreHealth::AllowRequest(TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (consecutive_failures_ < kFailureThreshold) return true;
  if (now < next_probe_) return false;
  next_probe_ = now + kProbeInterval;
  return true;
}

}  // namespace pomelopond::entry
