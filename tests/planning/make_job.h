// Jobs for tests of the planning library.
#ifndef POMELOPOND_TESTS_PLANNING_MAKE_JOB_H_
#define POMELOPOND_TESTS_PLANNING_MAKE_JOB_H_

#include <chrono>
#include <string>

#include "planning/task.h"

namespace pomelopond::planning {

inline JobSpec MakeJob(const std::string& id, int64_t count, Resources need) {
  JobSpec spec;
  spec.id = id;
  spec.team = "team";
  spec.count = count;
  spec.need = need;
  spec.run_time = std::chrono::seconds(1);
  return spec;
}

}  // namespace pomelopond::planning

#endif  // POMELOPOND_TESTS_PLANNING_MAKE_JOB_H_
