// The part of JobService that cancels jobs.
#include <utility>

#include "base/result_code.h"
#include "entry/internal/job_service_retries.h"
#include "entry/internal/pending_write.h"
#include "entry/job_service.h"
#include "entry/keys.h"

namespace pomelopond::entry {

void JobService::Cancel(const std::string& id, TimePoint deadline,
                        const std::function<void(std::error_code)>& done) {
  if (!Admit("cancel", id)) return done(ResultCode::kStoreUnavailable);
  TryCancel(id, RetryDeadline(Now(), kMaxUnknownTime, deadline), deadline, done);
}

void JobService::TryCancel(const std::string& id, TimePoint retry_deadline, TimePoint deadline,
                           const std::function<void(std::error_code)>& done) {
  const auto again = [this, id, retry_deadline, deadline, done](std::error_code ec) {
    RetryRead<int>(
        retry_deadline, ec,
        [this, id, retry_deadline, deadline, done] {
          TryCancel(id, retry_deadline, deadline, done);
        },
        [done](const Result<int>& result) { done(result.ec); });
  };
  store_->Get(JobKey(id), [this, id, deadline, again, done](const Result<store::Item>& item) {
    if (!item.ok()) return again(item.ec);
    if (item.value.revision == 0) return CancelUnknown(id, deadline, again, done);
    PendingWrite cancel;
    cancel.name = "cancel";
    cancel.job = id;
    cancel.transaction.conditions = {{JobKey(id), item.value.revision}, {CancelKey(id), 0}};
    cancel.transaction.writes = {{CancelKey(id), "1", 0}};
    cancel.resolve = [id](const ExistingItems& existing) {
      return CancellationVerdict(id, existing);
    };
    StartWrite(std::move(cancel), deadline, [again, done](std::error_code ec) {
      // The job has been removed in the meantime.
      if (ec == ResultCode::kStoreCompareFailed) return again(ec);
      done(ec);
    });
  });
}

// The caller is told that no such job exists, so a creation that was sent before must not take
// effect afterwards. It may be held by a host that is frozen, or by the store.
void JobService::CancelUnknown(const std::string& id, TimePoint deadline,
                               const std::function<void(std::error_code)>& again,
                               const std::function<void(std::error_code)>& done) {
  cancellation_lease_.Get(Now(), [this, id, deadline, again, done](const Result<int64_t>& lease) {
    RecordOutcome(lease.ec);
    if (!lease.ok()) return again(lease.ec);
    PendingWrite forbid;
    forbid.name = "cancel_unknown";
    forbid.job = id;
    // Written again if it exists, so that it lasts from the last cancellation on.
    forbid.transaction.conditions = {{JobKey(id), 0}};
    forbid.transaction.writes = {{CancelledKey(id), kCancelledMark, lease.value}};
    // The job exists by now, and `again` reads it.
    forbid.resolve = [](const ExistingItems&) {
      return WriteVerdict{ResultCode::kStoreCompareFailed, true, std::nullopt};
    };
    StartWrite(std::move(forbid), deadline,
               [this, lease = lease.value, again, done](std::error_code ec) {
                 if (!ec) return done(ResultCode::kNotFound);
                 if (ec != ResultCode::kStoreCompareFailed) return done(ec);
                 // The job exists by now, or the lease has ended.
                 cancellation_lease_.Drop(lease);
                 again(ec);
               });
  });
}

}  // namespace pomelopond::entry
