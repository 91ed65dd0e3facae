#include "routing/retry_budget.h"

#include <algorithm>

namespace pomelopond::routing {

void AddRequest(RetryBudget* budget) {
  budget->tokens = std::min(budget->tokens + kTokensPerRequest, kMaxTokens);
}

bool TryAcquireRetry(RetryBudget* budget) {
  if (budget->tokens < 1) return false;
  budget->tokens -= 1;
  return true;
}

}  // namespace pomelopond::routing
