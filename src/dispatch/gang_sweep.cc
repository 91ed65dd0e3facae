#include "dispatch/gang_sweep.h"

namespace pomelopond::dispatch {
namespace {

// Looks at workers for gangs in one decision, some 2 ms of a core. The last gang may exceed it by a
// look at each worker and one at each of its members.
constexpr int64_t kLooksPerDecision = 20000;

}  // namespace

void BeginDecision(GangSweep* sweep) { sweep->looks_left = kLooksPerDecision; }

void BeginPlacement(GangSweep* sweep) {
  if (!sweep->cut) sweep->number += 1;
  sweep->cut = false;
}

bool TakeTurn(GangSweep* sweep, StepState* gang) {
  if (gang->sweep == sweep->number) return false;
  if (sweep->looks_left <= 0) sweep->cut = true;
  if (sweep->cut) return false;
  gang->sweep = sweep->number;
  return true;
}

}  // namespace pomelopond::dispatch
