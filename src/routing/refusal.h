// Provides the result code of a request that the router abandons.
#ifndef POMELOPOND_ROUTING_REFUSAL_H_
#define POMELOPOND_ROUTING_REFUSAL_H_

#include "base/result_code.h"

namespace pomelopond::routing {

// Returns the code to answer with when the router abandons a request because of `code`.
// `may_have_run` means that an earlier attempt may have reached a target. Such a request is never
// answered "not run", even when its retry found the queue full or no target.
ResultCode FinalCode(ResultCode code, bool may_have_run);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_REFUSAL_H_
