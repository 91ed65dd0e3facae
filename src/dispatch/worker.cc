#include "dispatch/worker.h"

namespace pomelopond::dispatch {

const char* EndKindName(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLeaseExpired:
      return "lease_expired";
    case EndKind::kGangBroken:
      return "gang_broken";
    case EndKind::kGangIncomplete:
      return "gang_incomplete";
  }
  return "unknown";
}

}  // namespace pomelopond::dispatch
