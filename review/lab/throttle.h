// A processor share as DEPLOY.md describes it: "The core runs at full speed until the allowance is
// used up, and then runs not at all for the rest of that tenth of a second."
#ifndef POMELOPOND_REVIEW_LAB_THROTTLE_H_
#define POMELOPOND_REVIEW_LAB_THROTTLE_H_

#include <atomic>
#include <thread>
#include <vector>

#include "review/lab/daemon.h"

namespace pomelopond::lab {

// Stops and continues the processes of the machines until it is destroyed. The machines must not
// move meanwhile; a machine whose process is replaced goes on with the new one.
class Throttle {
 public:
  Throttle(std::vector<Machine>* machines, double share);
  ~Throttle();
  Throttle(const Throttle&) = delete;
  Throttle& operator=(const Throttle&) = delete;

 private:
  std::atomic<bool> ends_{false};
  std::thread thread_;
};

}  // namespace pomelopond::lab

#endif  // POMELOPOND_REVIEW_LAB_THROTTLE_H_
