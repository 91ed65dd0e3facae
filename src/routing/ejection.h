// Provides outlier ejection: slow or failing targets are taken out of use and probed before they
// return.
#ifndef POMELOPOND_ROUTING_EJECTION_H_
#define POMELOPOND_ROUTING_EJECTION_H_

#include <vector>

#include "base/time.h"
#include "routing/target.h"

namespace pomelopond::routing {

// Maximum fraction of targets that may be ejected or on probation at the same time. With a higher
// fraction, a fault that affects all targets would leave too few of them for the load.
inline constexpr double kMaxEjectedFraction = 0.2;

// Records the result of one request. `failed` means that the target did not answer, or answered
// that it could not serve the request.
void RecordResult(Target* target, bool failed, TimePoint now);

// Ejects the worst targets of a service within kMaxEjectedFraction, and puts targets whose ejection
// time is over on probation, where they get one request at a time. Returns the number of targets
// that this call ejects.
int UpdateEjection(std::vector<Target>* targets, TimePoint now);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_EJECTION_H_
