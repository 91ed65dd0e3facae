// SharedLease grants one lease of the store for the keys of many calls, so that a key that has to
// last for some time costs one call, not two.
#ifndef POMELOPOND_ENTRY_SHARED_LEASE_H_
#define POMELOPOND_ENTRY_SHARED_LEASE_H_

#include <functional>
#include <mutex>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "store/key_store.h"

namespace pomelopond::entry {

class SharedLease {
 public:
  // Keys last for `key_time` at least, and for a quarter more at most. A lease that the store
  // shortens is not shared.
  SharedLease(store::KeyStore* store, Duration key_time);

  // Calls `done` with the id of a lease for a key that is written at once, or with the error of the
  // store's answer. Thread-safe.
  using Waiter = std::function<void(Result<int64_t>)>;
  void Get(TimePoint now, const Waiter& done);

  // The store has said that the lease has ended. Thread-safe.
  void Drop(int64_t lease);

 private:
  // Returns the shared lease, or 0 once `waiter` waits for the next one.
  int64_t WaitUnlessShared(TimePoint now, const Waiter& waiter);
  void OnGranted(const Result<store::Lease>& lease, TimePoint sent);

  store::KeyStore* const store_;
  const Duration key_time_;
  const Duration lease_time_;

  std::mutex mutex_;  // guards the members below; no other lock is taken while it is held
  int64_t lease_ = 0;
  TimePoint shared_until_;
  bool granting_ = false;
  std::vector<Waiter> waiting_;  // for the lease that is being granted
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_SHARED_LEASE_H_
