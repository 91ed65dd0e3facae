// Ranking of jobs that compete for capacity.
#ifndef POMELOPOND_DISPATCH_JOB_RANK_H_
#define POMELOPOND_DISPATCH_JOB_RANK_H_

#include <map>
#include <string>
#include <tuple>

#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

// Ratio of measured to estimated task duration, by image.
using DurationModel = std::map<std::string, double>;

// Updates the model with a task that completed after `took_ms`.
void LearnDuration(DurationModel* model, const jobs::Step& step, int64_t took_ms);

// Expected duration of one task of the step, in ms.
double ExpectedMs(const DurationModel& model, const jobs::Step& step);

// Length in ms of the critical path through the steps that are not done, in the occurrence with the
// longest one.
double RemainingCriticalPathMs(const DurationModel& model, const JobEntry& entry);

// Target duration of an occurrence in ms: the queue's stretch factor times the critical path, plus
// the queue's constant allowance.
double ObjectiveMs(const DurationModel& model, const JobEntry& entry);

Estimates EstimatesOf(const DurationModel& model, const JobEntry& entry);

// How late a job is expected to complete if it gets capacity now.
enum class Lateness {
  kOnTime,
  kLate,     // after its objective, but still useful
  kTooLate,  // after three times its objective
};
Lateness LatenessOf(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms);

// Jobs with the smaller rank come first. The rank compares, in this order:
// - the priority of the queue;
// - the lateness, so that no capacity goes to jobs that are late anyway while others become late;
// - started jobs before pending ones, oldest first, so that started work completes soon;
// - among pending jobs the newest first. Under overload, oldest first would start each job just
//   when any further delay makes it late, so that all jobs would be late in turn.
// Jobs of equal rank are served in the order of their ids.
using JobRank = std::tuple<int, Lateness, bool, int64_t>;
JobRank RankOf(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_JOB_RANK_H_
