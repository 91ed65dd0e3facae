#include "dispatch/unplaceable_requests.h"

#include <algorithm>

namespace pomelopond::dispatch {
namespace {

// Each step is compared with all amounts of its class, of which none covers another one.
constexpr size_t kMostNeeds = 1000;

}  // namespace

TaskClass ClassOf(const JobEntry& entry, const jobs::Step& step, bool owed_run) {
  TaskClass out;
  out.service = entry.job.rules.service;
  out.required_label = step.required_label;
  out.best_effort = step.best_effort;
  if (step.best_effort) out.best_effort_image = step.image;
  out.owed_run = owed_run;
  out.perpetual = step.perpetual;
  out.priority = entry.job.rules.priority;
  return out;
}

void RecordUnplaceable(UnplaceableRequests* unplaceable, const JobEntry& entry,
                       const jobs::Step& step, bool owed_run) {
  if (step.max_per_worker > 0) return;
  std::vector<Resources>& needs = (*unplaceable)[ClassOf(entry, step, owed_run)];
  if (needs.size() >= kMostNeeds) return;
  // Of two comparable amounts only the smaller one is kept, as it covers the larger one.
  needs.erase(std::remove_if(needs.begin(), needs.end(),
                             [&step](const Resources& it) { return Fits(step.request, it); }),
              needs.end());
  needs.push_back(step.request);
}

bool IsUnplaceable(const UnplaceableRequests& unplaceable, const JobEntry& entry,
                   const jobs::Step& step, bool owed_run) {
  const auto it = unplaceable.find(ClassOf(entry, step, owed_run));
  if (it == unplaceable.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(),
                     [&step](const Resources& need) { return Fits(need, step.request); });
}

}  // namespace pomelopond::dispatch
