// The jobs of the planner and their waiting tasks.
#ifndef POMELOPOND_PLANNING_INTERNAL_WAITING_JOBS_H_
#define POMELOPOND_PLANNING_INTERNAL_WAITING_JOBS_H_

#include <cstdint>
#include <string>

#include "planning/placement.h"

namespace pomelopond::planning {

bool IsNonBatch(const JobSpec& spec);

int32_t FindOrAddTeam(Planner* planner, const std::string& name);
Planner::Job& FindOrAddJob(Planner* planner, const JobSpec& spec);
void DropJobIfIdle(Planner* planner, const std::string& id);

// Adds all tasks of a new job.
void AddJob(Planner* planner, const JobSpec& spec);
void AddWaiting(Planner* planner, const JobSpec& spec, int32_t index);

// Returns whether the task was waiting.
bool RemoveWaiting(Planner* planner, const std::string& id, int32_t index);
void CancelWaiting(Planner* planner, const std::string& id);

// Updates the job's group after tasks were removed from `waiting`.
void AfterRemoval(Planner* planner, const std::string& id, Planner::Job* job);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_INTERNAL_WAITING_JOBS_H_
