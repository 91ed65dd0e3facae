// The result code of a request that is given up.
#ifndef POMELOPOND_ROUTING_REFUSAL_H_
#define POMELOPOND_ROUTING_REFUSAL_H_

#include "base/result_code.h"

namespace pomelopond::routing {

// The code to answer with when a request is given up because of `code`. `may_have_run`: an earlier
// attempt may have reached a target. Such a request is never answered "not run", even when its
// retry found no place in the queue or no target.
ResultCode FinalCode(ResultCode code, bool may_have_run);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_REFUSAL_H_
