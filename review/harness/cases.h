// The cases of the review that are scripts. Each returns whether the rule was broken.
#ifndef POMELOPOND_REVIEW_HARNESS_CASES_H_
#define POMELOPOND_REVIEW_HARNESS_CASES_H_

#include "record.h"

namespace pomelopond::review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

using CaseFunction = int (*)(bool trouble, Record* record);

int RunMemoryCase(bool trouble, Record* record);
int RunLastSeenCase(bool trouble, Record* record);
int RunCancelCase(bool trouble, Record* record);
int RunRecordSizeCase(bool trouble, Record* record);

}  // namespace pomelopond::review

#endif  // POMELOPOND_REVIEW_HARNESS_CASES_H_
