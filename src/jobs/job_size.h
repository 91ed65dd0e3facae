// Bounds of what a job takes in the store, known from the job alone, so that any host can weigh a
// job before it accepts it.
#ifndef POMELOPOND_JOBS_JOB_SIZE_H_
#define POMELOPOND_JOBS_JOB_SIZE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "jobs/job.h"

namespace pomelopond::jobs {

// Checkpoints that are longer, in bytes, are not stored.
inline constexpr size_t kMaxCheckpointBytes = 256;

// Largest number of occurrences that are open at one time. It bounds the memory and the stored
// progress of a schedule that is far behind its times.
int64_t MaxOpenOccurrences(const Job& job);

// True when a task of the step may leave a failed run or a checkpoint in the stored progress. Of a
// gang only the first member does.
bool LeavesRecord(const Step& step, int index);

// Largest number of tasks that may be active or may have left something at one time, for a stored
// progress within `max_value_bytes`. 0: the progress of the job may be larger whatever is started.
int64_t MaxTasksUnderWay(const Job& job, int64_t max_value_bytes);

// Returns an empty string if the store can hold the job and its progress at any time, else a
// description of what is too large.
std::string StorageError(const Job& job, int64_t max_value_bytes);

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_JOB_SIZE_H_
