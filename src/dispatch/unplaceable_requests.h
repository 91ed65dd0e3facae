// Task requests that fit no worker during one decision. The dispatcher skips equal and larger
// requests for the rest of the decision.
#ifndef POMELOPOND_DISPATCH_UNPLACEABLE_REQUESTS_H_
#define POMELOPOND_DISPATCH_UNPLACEABLE_REQUESTS_H_

#include <map>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/resources.h"
#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

// Properties, besides the amounts of resources, that determine which workers a task may use and
// which runs it may preempt. The image matters for best-effort tasks only; the workers for other
// tasks don't depend on it. The string views refer to the job, whose removal ends the placement.
struct TaskClass {
  std::string_view service;
  std::string_view required_label;
  bool best_effort = false;
  std::string_view best_effort_image;
  bool owed_run = false;  // preempts no run and has wider limits
  bool perpetual = false;
  int priority = 0;

  friend bool operator==(const TaskClass& a, const TaskClass& b) {
    return std::tie(a.service, a.required_label, a.best_effort, a.best_effort_image, a.owed_run,
                    a.perpetual, a.priority) == std::tie(b.service, b.required_label, b.best_effort,
                                                         b.best_effort_image, b.owed_run,
                                                         b.perpetual, b.priority);
  }
  friend bool operator<(const TaskClass& a, const TaskClass& b) {
    return std::tie(a.service, a.required_label, a.best_effort, a.best_effort_image, a.owed_run,
                    a.perpetual, a.priority) < std::tie(b.service, b.required_label, b.best_effort,
                                                        b.best_effort_image, b.owed_run,
                                                        b.perpetual, b.priority);
  }
};

TaskClass ClassOf(const JobEntry& entry, const jobs::Step& step, bool owed_run);

// Amounts that fit no worker, by class. They stay valid during a decision because free capacity
// only shrinks in it.
using UnplaceableRequests = std::map<TaskClass, std::vector<Resources>>;

// Records that no worker can run a task of the step. A step with a limit of tasks per worker is not
// recorded, as its failure says nothing about other steps.
void RecordUnplaceable(UnplaceableRequests* unplaceable, const JobEntry& entry,
                       const jobs::Step& step, bool owed_run = false);

// True when no task of the step can be placed for the rest of this decision.
bool IsUnplaceable(const UnplaceableRequests& unplaceable, const JobEntry& entry,
                   const jobs::Step& step, bool owed_run = false);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_UNPLACEABLE_REQUESTS_H_
