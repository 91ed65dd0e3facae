// Whether the store holds what an ended run tells.
#ifndef POMELOPOND_TESTS_DISPATCH_STORED_END_H_
#define POMELOPOND_TESTS_DISPATCH_STORED_END_H_

#include <algorithm>
#include <vector>

#include "dispatch/worker.h"
#include "jobs/progress.h"

namespace pomelopond::dispatch {

// True when an owner that loads the progress of the job can neither start the task again nor count
// fewer failures than there were.
inline bool IsStored(const jobs::JobProgress& progress, const EndedRun& end, bool gang) {
  const jobs::TaskId& id = end.id.task;
  if (jobs::IsFinal(progress.state) || jobs::IsDone(progress, id)) return true;
  if (end.kind == EndKind::kDone) return false;
  // The first member holds the failures of the whole gang.
  const auto task = progress.tasks.find({id.occurrence, id.step, gang ? 0 : id.index});
  if (task == progress.tasks.end()) return false;
  const std::vector<int64_t>& failed = task->second.failed_runs;
  return std::find(failed.begin(), failed.end(), end.id.run) != failed.end();
}

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_TESTS_DISPATCH_STORED_END_H_
