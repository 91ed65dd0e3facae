// Bound of the memory that a job takes in the pool's owner, known from the job alone, so that any
// host can weigh a job before it accepts it.
#ifndef POMELOPOND_DISPATCH_JOB_MEMORY_H_
#define POMELOPOND_DISPATCH_JOB_MEMORY_H_

#include <cstdint>

#include "jobs/job.h"

namespace pomelopond::dispatch {

// Number of bytes that the state of the job takes in an owner, with one failed run for each task
// under way and without its active runs, which the workers bound. `max_value_bytes` is the store's
// largest value.
int64_t MaxMemoryBytes(const jobs::Job& job, int64_t max_value_bytes);

// The part of a process's memory that jobs may take. The rest is for workers, runs, messages and
// what the allocator holds back.
inline int64_t JobMemoryOf(int64_t memory_bytes) { return memory_bytes / 8 * 5; }

// Jobs with at most this part of the jobs' memory are accepted without a look at the sum. What is
// accepted of them until the owner marks the pool as full is taken from the rest of the memory.
inline constexpr int64_t kSmallJobsInMemory = 1024;

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_JOB_MEMORY_H_
