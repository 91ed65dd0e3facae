// Tasks that found no worker during one decision, so that equal or larger ones are not tried again.
#ifndef POMELOPOND_DISPATCH_UNPLACEABLE_REQUESTS_H_
#define POMELOPOND_DISPATCH_UNPLACEABLE_REQUESTS_H_

#include <map>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/resources.h"
#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

// What decides, beside the amounts, which workers a task may use and what it may displace there.
// Tasks that count against the capacity find the same workers whatever they run. The names belong
// to the job.
struct TaskClass {
  std::string_view service;
  std::string_view required_label;
  bool best_effort = false;
  std::string_view best_effort_image;
  bool perpetual = false;
  int priority = 0;

  friend bool operator==(const TaskClass& a, const TaskClass& b) {
    return std::tie(a.service, a.required_label, a.best_effort, a.best_effort_image, a.perpetual,
                    a.priority) == std::tie(b.service, b.required_label, b.best_effort,
                                            b.best_effort_image, b.perpetual, b.priority);
  }
  friend bool operator<(const TaskClass& a, const TaskClass& b) {
    return std::tie(a.service, a.required_label, a.best_effort, a.best_effort_image, a.perpetual,
                    a.priority) < std::tie(b.service, b.required_label, b.best_effort,
                                           b.best_effort_image, b.perpetual, b.priority);
  }
};

TaskClass ClassOf(const JobEntry& entry, const jobs::Step& step);

// Amounts that found no room, by class. Room only shrinks during a decision, and no job is removed.
using UnplaceableRequests = std::map<TaskClass, std::vector<Resources>>;

// Notes that a task of the step found no room. A step with limits of its own says nothing about
// others, so it is not noted.
void RecordUnplaceable(UnplaceableRequests* unplaceable, const JobEntry& entry,
                       const jobs::Step& step);

// True when no task of the step can find room during this decision any more.
bool IsUnplaceable(const UnplaceableRequests& unplaceable, const JobEntry& entry,
                   const jobs::Step& step);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_UNPLACEABLE_REQUESTS_H_
