#include "entry/shared_lease.h"

#include <algorithm>
#include <utility>

namespace pomelopond::entry {
namespace {

// Longest lease that the store grants.
constexpr Duration kMaxLeaseTime = std::chrono::minutes(10);

}  // namespace

SharedLease::SharedLease(store::KeyStore* store, Duration key_time)
    : store_(store),
      key_time_(key_time),
      lease_time_(std::min<Duration>(key_time + key_time / 4, kMaxLeaseTime)) {}

int64_t SharedLease::WaitUnlessShared(TimePoint now, const Waiter& waiter) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (lease_ != 0 && now < shared_until_) return lease_;
  waiting_.push_back(waiter);
  return 0;
}

void SharedLease::Get(TimePoint now, const Waiter& done) {
  const int64_t lease = WaitUnlessShared(now, done);
  if (lease != 0) return done({{}, lease});
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (granting_) return;
    granting_ = true;
  }
  store_->GrantLease(lease_time_,
                     [this, now](const Result<store::Lease>& it) { OnGranted(it, now); });
}

// The lease runs from the arrival of the call, so it lasts until `sent` and its time at least.
void SharedLease::OnGranted(const Result<store::Lease>& lease, TimePoint sent) {
  std::vector<Waiter> waiting;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    granting_ = false;
    waiting.swap(waiting_);
    if (lease.ok()) {
      lease_ = lease.value.id;
      shared_until_ = sent + lease.value.ttl - key_time_;
    }
  }
  for (const auto& it : waiting) it({lease.ec, lease.value.id});
}

void SharedLease::Drop(int64_t lease) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (lease_ == lease) lease_ = 0;
}

}  // namespace pomelopond::entry
