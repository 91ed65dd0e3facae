// Paths of the scheduler's HTTP interface that several of its source files use.
#ifndef POMELOPOND_APPS_SCHEDULER_PATHS_H_
#define POMELOPOND_APPS_SCHEDULER_PATHS_H_

namespace pomelopond::apps {

inline constexpr const char* kJobsPath = "/v1/jobs";
inline constexpr const char* kFencePath = "/v1/fence";

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_SCHEDULER_PATHS_H_
