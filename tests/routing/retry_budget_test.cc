#include "routing/retry_budget.h"

#include <gtest/gtest.h>

namespace pomelopond::routing {
namespace {

// Guards against retries that double the load when every request fails.
TEST(RetryBudgetTest, RetriesStayWithinTheirShare) {
  RetryBudget budget;
  int retries = 0;
  for (int n = 0; n < 10000; ++n) {
    AddRequest(&budget);
    while (TryAcquireRetry(&budget)) retries += 1;
  }
  EXPECT_LE(retries, 1010);
  EXPECT_GE(retries, 1008);
}

// Guards against a long period without failures that saves up retries for one large burst.
TEST(RetryBudgetTest, SavesUpOnlyASmallBurst) {
  RetryBudget budget;
  for (int n = 0; n < 10000; ++n) AddRequest(&budget);
  int retries = 0;
  while (TryAcquireRetry(&budget)) retries += 1;
  EXPECT_EQ(retries, 10);
}

}  // namespace
}  // namespace pomelopond::routing
