#include "dispatch/job_memory.h"

#include <algorithm>

#include "dispatch/job_table.h"
#include "jobs/job_size.h"

namespace pomelopond::dispatch {
namespace {

// What the allocator takes for a block besides its content.
constexpr int64_t kBlockBytes = 32;
// A failed run of a task and the worker on which it failed. One is counted for each task under way:
// a job whose tasks fail again and again is soon over.
constexpr int64_t kFailedRunBytes = 160;
// Place of a job or an occurrence in the tables of its owner.
constexpr int64_t kEntryBytes = 512;

int64_t TextBytes(const std::string& text) {
  return static_cast<int64_t>(text.size()) + kBlockBytes;
}

int64_t StepBytes(const jobs::Step& step) {
  return static_cast<int64_t>(sizeof(step)) +
         static_cast<int64_t>(step.after.size() * sizeof(int)) + TextBytes(step.required_label) +
         TextBytes(step.preferred_rack) + TextBytes(step.image) + kBlockBytes;
}

}  // namespace

int64_t MaxMemoryBytes(const jobs::Job& job, int64_t max_value_bytes) {
  int64_t bytes = static_cast<int64_t>(sizeof(JobEntry)) + kEntryBytes + TextBytes(job.id) +
                  TextBytes(job.spec) + TextBytes(job.rules.queue) + TextBytes(job.rules.service);
  for (const jobs::Step& it : job.steps) bytes += StepBytes(it);
  const int64_t open = jobs::MaxOpenOccurrences(job);
  const int64_t tasks = open * jobs::TasksOfOccurrence(job);
  const auto steps = static_cast<int64_t>(job.steps.size());
  bytes += open * (kEntryBytes + steps * static_cast<int64_t>(sizeof(StepState) + kBlockBytes));
  bytes += tasks * static_cast<int64_t>(sizeof(TaskState));
  const bool checkpoints = std::any_of(job.steps.begin(), job.steps.end(),
                                       [](const jobs::Step& it) { return it.checkpoint; });
  const int64_t checkpoint =
      checkpoints ? static_cast<int64_t>(jobs::kMaxCheckpointBytes) + kBlockBytes : 0;
  const int64_t under_way = std::min(tasks, jobs::MaxTasksUnderWay(job, max_value_bytes));
  return bytes + under_way * (kFailedRunBytes + checkpoint);
}

}  // namespace pomelopond::dispatch
