// Retries of the store's calls that the source files of JobService share.
#ifndef POMELOPOND_ENTRY_INTERNAL_JOB_SERVICE_RETRIES_H_
#define POMELOPOND_ENTRY_INTERNAL_JOB_SERVICE_RETRIES_H_

#include <algorithm>
#include <utility>

#include "base/result_code.h"
#include "base/time.h"
#include "entry/job_service.h"

namespace pomelopond::entry {

inline constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
// Maximum time to retry a commit whose outcome is unknown, or a read.
inline constexpr Duration kMaxUnknownTime = std::chrono::milliseconds(1500);
// Time before the caller's deadline that is reserved for sending the response to the caller.
inline constexpr Duration kResponseMargin = std::chrono::milliseconds(150);

inline TimePoint RetryDeadline(TimePoint now, Duration limit, TimePoint deadline) {
  return std::min(now + limit, deadline - kResponseMargin);
}

template <class T>
void JobService::RetryRead(TimePoint retry_deadline, std::error_code ec,
                           std::function<void()> again, std::function<void(Result<T>)> done) {
  if (Now() + kRetryDelay < retry_deadline) return timer_(kRetryDelay, std::move(again));
  metrics_->Count(metrics::Labelled("reads_failed_total", "result",
                                    ResultName(static_cast<ResultCode>(ec.value()))));
  done({ResultCode::kStoreUnavailable, {}});
}

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_INTERNAL_JOB_SERVICE_RETRIES_H_
