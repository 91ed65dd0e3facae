// Ranking of jobs that compete for capacity.
#ifndef POMELOPOND_DISPATCH_JOB_RANK_H_
#define POMELOPOND_DISPATCH_JOB_RANK_H_

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/job_table.h"
#include "dispatch/job_value.h"

namespace pomelopond::dispatch {

// Ratio of measured to estimated task duration, by image.
using DurationModel = std::map<std::string, double>;

// Updates the model with a task that completed after `took_ms`.
void LearnDuration(DurationModel* model, const jobs::Step& step, int64_t took_ms);

// Expected duration of one task of the step, in ms.
double ExpectedMs(const DurationModel& model, const jobs::Step& step);

// Length in ms of the critical path through the steps that are not done, in the occurrence with the
// longest one. A step that is wider than the room runs in several waves.
double RemainingCriticalPathMs(const DurationModel& model, const JobEntry& entry,
                               int64_t room_cpu_milli = kUnlimitedRoom);

// Expected work of `tasks` tasks of the step, in ms of one core.
double TasksWorkMs(const DurationModel& model, const jobs::Step& step, int64_t tasks);

// Expected work of the tasks that are not done.
double RemainingWorkMs(const DurationModel& model, const JobEntry& entry);

// Expected work of all tasks of one occurrence.
double WorkMs(const DurationModel& model, const jobs::Job& job);

// Target duration of an occurrence in ms: the queue's stretch factor times the critical path, plus
// the queue's constant allowance.
double ObjectiveMs(const DurationModel& model, const JobEntry& entry);

Estimates EstimatesOf(const DurationModel& model, const JobEntry& entry);

// The same for an order by value and work, in this room and a queue with this mean work.
Estimates EstimatesOf(const DurationModel& model, const JobEntry& entry, double mean_work_ms,
                      int64_t room_cpu_milli);

// Time in ms by which the job could start later and still be on time.
double LaxityMs(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms);

// How late a job is expected to complete if it gets capacity now.
enum class Lateness {
  kOnTime,
  kLate,     // after its objective, but still useful
  kTooLate,  // after three times its objective
};
Lateness LatenessOf(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms);

// What a job gets in its turn of a placement. The values are in the order of the turns.
enum class TurnKind {
  kOnTime,     // all that a job on time needs
  kFirstRun,   // one run for a job that has none at work, in an underused pool
  kSuccessor,  // another one for a late job whose runs end soon, so that it starts before they end
  kSecondRun,  // a second one for a late job, so that the end of one run does not stop its progress
  kLate,       // all that a late job needs
  kTooLate,    // all that a job that is too late needs
};

// Turns with the smaller rank come first. The rank compares, in this order:
// - the priority of the queue;
// - the kind of the turn, so that no capacity goes to jobs that are late anyway while others become
//   late. First runs come before late jobs, which would use up the start orders in flight;
// - among first runs, the job that has been idle for the longest time; among successors and among
//   second runs, the oldest job;
// - started jobs before pending ones, oldest first, so that started work completes soon;
// - among pending jobs the newest first. Under overload, oldest first would start each job just
//   when any further delay makes it late, so that all jobs would be late in turn. Jobs that are too
//   late have nothing to lose by a delay, so they come oldest first.
// With an order by value and work, jobs that are not too late are ordered by their cost class
// before their age, and within a class as above (dispatch/job_value.h). Turns of equal
// rank follow the order of the job ids.
using TurnRank = std::tuple<int, TurnKind, bool, int64_t>;
TurnRank RankOf(const Estimates& estimates, const JobEntry& entry, int64_t wall_ms);

// True for a job that has been idle for kIdlePatience.
inline constexpr Duration kIdlePatience = std::chrono::milliseconds(500);
bool IsIdleForLong(const JobEntry& entry, TimePoint now);

// Runs of a job that are at work, on workers that answer.
struct RunCounts {
  int working = 0;
  int lasting = 0;  // of these, runs that do not end soon
};
RunCounts CountRuns(const JobEntry& entry, TimePoint now);

// True when the turn is for an owed run only.
bool IsOwed(TurnKind kind);

// True when a job with these runs has what the turn provides for, if it is for an owed run.
bool HasOwedRuns(TurnKind kind, const RunCounts& runs);

// Kinds of the turns that the job, with these runs, has in an underused pool besides its own one.
std::vector<TurnKind> OwedTurns(const JobEntry& entry, const RunCounts& runs, TimePoint now,
                                int64_t wall_ms);

// Rank of a turn for an owed run.
TurnRank OwedRunRank(const JobEntry& entry, TurnKind kind);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_JOB_RANK_H_
