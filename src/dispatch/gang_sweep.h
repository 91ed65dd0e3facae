// Bounds the work on waiting gangs of one decision. A gang that finds no room costs a look at each
// worker, and clients choose how many gangs wait. What one decision does not come to, the next ones
// do: a sweep looks at each gang once before a gang has its second turn, so that no gang keeps
// another one from its turn.
#ifndef POMELOPOND_DISPATCH_GANG_SWEEP_H_
#define POMELOPOND_DISPATCH_GANG_SWEEP_H_

#include <cstdint>

#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

struct GangSweep {
  int64_t number = 1;
  int64_t looks_left = 0;  // in this decision
  bool cut = false;        // the present placement has passed over a gang for want of looks
};

// A decision begins.
void BeginDecision(GangSweep* sweep);

// A placement begins. It goes on with a sweep that the last one has not completed.
void BeginPlacement(GangSweep* sweep);

// True when the gang has its turn now.
bool TakeTurn(GangSweep* sweep, StepState* gang);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_GANG_SWEEP_H_
