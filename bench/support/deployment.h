// The two deployments as the routing simulations see them.
#ifndef POMELOPOND_BENCH_SUPPORT_DEPLOYMENT_H_
#define POMELOPOND_BENCH_SUPPORT_DEPLOYMENT_H_

#include "base/time.h"

namespace pomelopond::bench {

struct Deployment {
  const char* name;
  int domains;       // failure domains
  Duration one_way;  // between failure domains
};

// From the sizes in docs/design.md, section 2.
inline constexpr Deployment kDeployments[] = {
    {"falaj", 3, std::chrono::microseconds(1400)},
    {"kumlama", 4, std::chrono::microseconds(500)},
};

}  // namespace pomelopond::bench

#endif  // POMELOPOND_BENCH_SUPPORT_DEPLOYMENT_H_
