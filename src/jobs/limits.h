// Bounds of the numbers in jobs and stored records. Sums and products of numbers within them stay
// within their types.
#ifndef POMELOPOND_JOBS_LIMITS_H_
#define POMELOPOND_JOBS_LIMITS_H_

#include <cstdint>
#include <limits>

namespace pomelopond::jobs {

inline constexpr int64_t kMaxInt = std::numeric_limits<int>::max();
inline constexpr int64_t kMinInt = std::numeric_limits<int>::min();
// Length of a job's spec in bytes.
inline constexpr int64_t kMaxSpecBytes = 4000;
inline constexpr int kMaxSteps = 1000;
// Values and keys in the text of a job: a little more than kMaxSteps steps with all their members
// have. Each takes up to 150 bytes once decoded.
inline constexpr int64_t kMaxJobValues = 40000;
// Tasks of one occurrence, over all steps. Each takes some hundred bytes of the owner's memory.
inline constexpr int64_t kMaxTasks = 50000;
// Tasks of all occurrences of a job. How many of them are open at one time is bounded by
// MaxOpenOccurrences().
inline constexpr int64_t kMaxTasksOfAllOccurrences = 200000;
// Largest duration in ms, over 300 years. Its product with the number of occurrences fits.
inline constexpr int64_t kMaxDurationMs = 10000000000000;
// Largest distance of a point in time from the Unix epoch, in ms.
inline constexpr int64_t kMaxTimeMs = 1000000000000000;
// Largest rate of starts on a cold worker.
inline constexpr double kMaxColdStartsPerS = 1000000;
// Largest size in bytes that a configuration may allow.
inline constexpr int64_t kMaxLimitBytes = int64_t{1} << 30;
// Largest timeout in ms that a configuration may set, a day.
inline constexpr int64_t kMaxLimitMs = 86400000;
// Largest factor of a queue's objective.
inline constexpr double kMaxStretch = 1000000;
// Largest number of a run, which no worker reaches, and largest epoch. An epoch has 100,000 runs of
// a task.
inline constexpr int64_t kMaxRun = 1000000000000000;
inline constexpr int64_t kMaxEpoch = 1000000000;

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_LIMITS_H_
