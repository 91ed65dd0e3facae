// The budget that keeps retries from multiplying the load of failing targets.
#ifndef POMELOPOND_ROUTING_RETRY_BUDGET_H_
#define POMELOPOND_ROUTING_RETRY_BUDGET_H_

namespace pomelopond::routing {

// Retries per request, and the most that may be saved up.
inline constexpr double kTokensPerRequest = 0.1;
inline constexpr double kMaxTokens = 10;

// A token bucket. It starts full, so that the first failures after a start are retried; of n
// requests at most 0.1 n + 10 are retried.
struct RetryBudget {
  double tokens = kMaxTokens;
};

// Counts one new request; retries do not count.
void AddRequest(RetryBudget* budget);

// True when a retry may be sent; it is then counted.
bool TryAcquireRetry(RetryBudget* budget);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_RETRY_BUDGET_H_
