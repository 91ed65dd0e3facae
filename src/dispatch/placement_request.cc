#include "dispatch/placement_request.h"

namespace pomelopond::dispatch {

Resources StepReservation(const jobs::Step& step) {
  Resources need = step.request;
  if (step.best_effort) need.cpu_milli = 0;
  return need;
}

}  // namespace pomelopond::dispatch
