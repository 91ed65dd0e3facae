// Provides the parameters of the two deployments for the routing simulations.
#ifndef POMELOPOND_BENCH_SUPPORT_DEPLOYMENT_H_
#define POMELOPOND_BENCH_SUPPORT_DEPLOYMENT_H_

#include "base/time.h"

namespace pomelopond::bench {

struct Deployment {
  const char* name;
  int domains;       // number of failure domains
  Duration one_way;  // one-way network latency between failure domains
};

// The values follow from the sizes in section 2 of docs/design.md.
inline constexpr Deployment kDeployments[] = {
    {"falaj", 3, std::chrono::microseconds(1400)},
    {"kumlama", 4, std::chrono::microseconds(500)},
};

}  // namespace pomelopond::bench

#endif  // POMELOPOND_BENCH_SUPPORT_DEPLOYMENT_H_
