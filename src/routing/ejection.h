// Ejection of slow or failing targets, and probing before they return.
#ifndef POMELOPOND_ROUTING_EJECTION_H_
#define POMELOPOND_ROUTING_EJECTION_H_

#include <vector>

#include "base/time.h"
#include "routing/target.h"

namespace pomelopond::routing {

// The most targets that may be ejected or on probation at once. With more, a fault that concerns
// all targets would leave too few of them for the load.
inline constexpr double kMaxEjectedFraction = 0.2;

// Counts one result of a target. `failed`: it did not answer, or answered that it could not.
void RecordResult(Target* target, bool failed, TimePoint now);

// Ejects the worst targets of a service within kMaxEjectedFraction and puts those whose time is
// over on probation, where they get one request at a time. Returns how many were ejected by this
// call.
int UpdateEjection(std::vector<Target>* targets, TimePoint now);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_EJECTION_H_
