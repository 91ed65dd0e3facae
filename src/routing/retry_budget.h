// Provides the retry budget, which keeps retries from multiplying the load of failing targets.
#ifndef POMELOPOND_ROUTING_RETRY_BUDGET_H_
#define POMELOPOND_ROUTING_RETRY_BUDGET_H_

namespace pomelopond::routing {

// Tokens that each request adds, and the capacity of the bucket. A retry takes one token.
inline constexpr double kTokensPerRequest = 0.1;
inline constexpr double kMaxTokens = 10;

// A token bucket of retries. The bucket starts full, so that the first failures after the start of
// the router are retried; n requests cause at most 0.1 n + 10 retries.
struct RetryBudget {
  double tokens = kMaxTokens;  // retries that may be sent now
};

// Adds the tokens of one new request. Must not be called for retries.
void AddRequest(RetryBudget* budget);

// Returns true when a retry may be sent, and takes a token for it.
bool TryAcquireRetry(RetryBudget* budget);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_RETRY_BUDGET_H_
