// The owner's regular log lines on its pool.
#ifndef POMELOPOND_ENTRY_POOL_LOG_H_
#define POMELOPOND_ENTRY_POOL_LOG_H_

#include <cstdint>

#include "dispatch/job_wait.h"
#include "dispatch/pool_summary.h"
#include "dispatch/tasks_away.h"

namespace pomelopond::entry {

void LogPool(const dispatch::PoolSummary& it, int64_t epoch);
// Two lines at most for each queue whose jobs wait: what orders them, and how long they wait for
// room.
void LogQueues(const dispatch::PoolSummary& it);
// Only while a failure domain is evacuated.
void LogEvacuation(const dispatch::PoolSummary& it);
// Only once this owner has found a slow worker.
void LogSlowWorkers(const dispatch::PoolSummary& it);
void LogWait(const dispatch::JobWait& wait);
void LogTaskAway(const dispatch::TaskAway& task);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_POOL_LOG_H_
