#include "routing/retry_budget.h"

#include <algorithm>

namespace pomelopond::routing {

void AddRequest(RetryBudget* budget) {
  budget->tokens = std::min(budget->tokens + kRetriesPerRequest, kMaxSavedRetries);
}

bool TakeRetry(RetryBudget* budget) {
  if (budget->tokens < 1) return false;
  budget->tokens -= 1;
  return true;
}

}  // namespace pomelopond::routing
