// The order in which jobs get room when there is too little of it for all.
#ifndef POMELOPOND_DISPATCH_JOB_RANK_H_
#define POMELOPOND_DISPATCH_JOB_RANK_H_

#include <map>
#include <string>
#include <tuple>

#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

// How long tasks take in relation to their callers' estimates, by image.
using DurationModel = std::map<std::string, double>;

// Learns from a task that is done after `took_ms`.
void LearnDuration(DurationModel* model, const jobs::Step& step, int64_t took_ms);

// The expected duration of one task of the step.
double ExpectedMs(const DurationModel& model, const jobs::Step& step);

// The longest chain of tasks that are not done yet, in the occurrence with most left.
double RemainingCriticalPathMs(const DurationModel& model, const JobEntry& entry);

// What an occurrence should take at most: the queue's stretch of its longest chain, and more.
double ObjectiveMs(const DurationModel& model, const JobEntry& entry);

Estimates EstimatesOf(const DurationModel& model, const JobEntry& entry);

// What a job that gets room now can still achieve.
enum class Lateness {
  kOnTime,
  kLate,     // past its objective, but of some use
  kTooLate,  // past three times its objective
};
Lateness LatenessOf(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms);

// Jobs with the smaller rank come first: priority, then those that can still be on time, so that
// room is not spent on jobs that are late anyway while others become late. Among them those that
// have begun come first, the oldest before the others, so that begun work ends soon. Of the rest
// the newest comes first: when there is too little room for all, the oldest would begin just when
// any further delay makes it late, and every job would be late in turn. Jobs of equal rank come in
// the order of their ids.
using JobRank = std::tuple<int, Lateness, bool, int64_t>;
JobRank RankOf(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_JOB_RANK_H_
