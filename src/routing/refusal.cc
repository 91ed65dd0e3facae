#include "routing/refusal.h"

namespace pomelopond::routing {

ResultCode FinalCode(ResultCode code, bool may_have_run) {
  if (!may_have_run || OutcomeOf(code) != Outcome::kNotRun) return code;
  return ResultCode::kOutcomeUnknown;
}

}  // namespace pomelopond::routing
