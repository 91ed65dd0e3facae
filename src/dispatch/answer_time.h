// Estimate of the time until prompt answers to orders arrive.
#ifndef POMELOPOND_DISPATCH_ANSWER_TIME_H_
#define POMELOPOND_DISPATCH_ANSWER_TIME_H_

#include "base/time.h"

namespace pomelopond::dispatch {

// Returns the estimate of the lower quartile of answer times after one more answer. Workers that
// answer late hardly change it, while it grows when this host is slow, because then all answers
// are late.
Duration UpdateLowerQuartile(Duration estimate, Duration took);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_ANSWER_TIME_H_
