// Comparisons of resources across their dimensions.
#ifndef POMELOPOND_PLANNING_INTERNAL_RESOURCE_SHARE_H_
#define POMELOPOND_PLANNING_INTERNAL_RESOURCE_SHARE_H_

#include "base/resources.h"

namespace pomelopond::planning {

// Returns the used fraction of `whole` in the scarcest dimension.
double Utilization(const Resources& used, const Resources& whole);

// Returns the maximum in each dimension.
Resources Max(const Resources& a, const Resources& b);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_INTERNAL_RESOURCE_SHARE_H_
