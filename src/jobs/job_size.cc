#include "jobs/job_size.h"

#include <algorithm>

namespace pomelopond::jobs {
namespace {

// Tasks of all open occurrences together, unless a single occurrence has more.
constexpr int64_t kMaxOpenTasks = 2000;

// Largest sizes in MessagePack, in bytes.
constexpr int64_t kNumberBytes = 9;
constexpr int64_t kHeaderBytes = 5;      // of a string, a list or a bit set
constexpr int64_t kProgressBytes = 100;  // of a progress without occurrences
constexpr int64_t kBitsPerByte = 8;

int64_t MaxDoneBytes(const Job& job) {
  int64_t occurrence = 3 * kHeaderBytes + kNumberBytes;
  for (const Step& it : job.steps) occurrence += kHeaderBytes + it.replicas / kBitsPerByte + 1;
  return kProgressBytes + occurrence * MaxOpenOccurrences(job);
}

// Of a task that is not done: its place, failed runs and checkpoint.
int64_t MaxTaskBytes(const Job& job) {
  const bool checkpoints =
      std::any_of(job.steps.begin(), job.steps.end(), [](const Step& it) { return it.checkpoint; });
  const int64_t runs = std::max(1, job.rules.max_attempts);
  return 3 * kHeaderBytes + 3 * kNumberBytes + runs * kNumberBytes +
         (checkpoints ? static_cast<int64_t>(kMaxCheckpointBytes) : 0);
}

}  // namespace

int64_t MaxOpenOccurrences(const Job& job) {
  const int64_t tasks = std::max<int64_t>(1, TasksOfOccurrence(job));
  return std::min<int64_t>(Occurrences(job), std::max<int64_t>(1, kMaxOpenTasks / tasks));
}

bool LeavesRecord(const Step& step, int index) {
  // Runs of perpetual tasks are not counted as failed.
  if (step.perpetual && !step.checkpoint) return false;
  return !step.gang || index == 0;
}

int64_t MaxTasksUnderWay(const Job& job, int64_t max_value_bytes) {
  return std::max<int64_t>(0, max_value_bytes - MaxDoneBytes(job)) / MaxTaskBytes(job);
}

std::string StorageError(const Job& job, int64_t max_value_bytes) {
  const std::string limit = ", more than " + std::to_string(max_value_bytes);
  const auto bytes = static_cast<int64_t>(Encode(job).size());
  if (bytes > max_value_bytes) return "the job takes " + std::to_string(bytes) + " bytes" + limit;
  if (MaxTasksUnderWay(job, max_value_bytes) > 0) return {};
  return "the progress of the job may take " +
         std::to_string(MaxDoneBytes(job) + MaxTaskBytes(job)) + " bytes" + limit;
}

}  // namespace pomelopond::jobs
