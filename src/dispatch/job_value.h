// Value of a job to its caller for the capacity that it takes. It orders the jobs that compete for
// room when there is too little for all of them.
#ifndef POMELOPOND_DISPATCH_JOB_VALUE_H_
#define POMELOPOND_DISPATCH_JOB_VALUE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>

#include "base/time.h"
#include "dispatch/job_table.h"

namespace pomelopond::dispatch {

// Work of the jobs of one queue.
struct QueueWork {
  double mean_core_ms = 0;  // moving average
  int64_t jobs = 0;         // number of jobs seen
};

// By queue, learned from the jobs that this owner has seen.
using WorkModel = std::map<std::string, QueueWork>;

// Updates the mean work of the queue with a job.
void LearnWork(WorkModel* model, const std::string& queue, double core_ms);

// Mean work of a job of the queue; 0: no job of it was seen.
double MeanWork(const WorkModel& model, const std::string& queue);

// Value of a job with `core_ms` of work in a queue with this mean, if it completes on time. A job
// with the mean work has the value 1.
double ValueOf(double core_ms, double mean_core_ms);

// Class of jobs that take their turn before all others, whatever their work: those that are in the
// share of turns by age, and those without a deadline.
inline constexpr int kFirstCostClass = -32;
inline constexpr int kLastCostClass = 63;

// Class of a job with this remaining work and value.
int CostClassOf(double remaining_core_ms, double value);

// True for a fixed share of all jobs, selected by their ids. They are ordered by age regardless of
// their work, so that large jobs are served too while smaller ones take all of the room.
bool IsOrderedByAge(const std::string& job);

// Order of jobs that are not too late: the class first, and in it `age_order`. The smaller number
// comes first.
int64_t CostOrder(int cost_class, int64_t age_order);

// Processor time of a service's workers that tasks which are not perpetual can take at most, in
// thousandths of a core: all of it, and the part in use by runs of each priority.
struct ServiceRoom {
  int64_t free = 0;
  std::map<int, int64_t> in_use;
};

using RoomByService = std::map<std::string, ServiceRoom>;
RoomByService MeasureRoom(const std::map<std::string, WorkerState>& workers, TimePoint now);

// Room that tasks of the priority can take: what is free, and what runs of the same or a less
// urgent priority use.
int64_t RoomOf(const RoomByService& rooms, const std::string& service, int priority);

inline constexpr int64_t kUnlimitedRoom = std::numeric_limits<int64_t>::max();

// Number of times that `tasks` tasks of the step fill the room.
int64_t WavesOf(const jobs::Step& step, int64_t tasks, int64_t room_cpu_milli);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_JOB_VALUE_H_
