// Jobs: what a caller submits, as steps of equal tasks.
#ifndef POMELOPOND_JOBS_JOB_H_
#define POMELOPOND_JOBS_JOB_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/json.h"
#include "base/resources.h"
#include "base/result.h"

namespace pomelopond::jobs {

// One step of a job: `replicas` equal tasks.
struct Step {
  int replicas = 1;
  Resources request;           // of one task
  int64_t estimate_ms = 0;     // the caller's rough estimate of one task's duration
  std::vector<int> after;      // earlier steps that must be done before this one starts
  bool checkpoint = false;     // tasks report checkpoints that a later run resumes from
  bool gang = false;           // tasks work only while all of one run are present
  bool same_rack = false;      // tasks of a gang are slower on more than one rack
  std::string required_label;  // empty: any worker
  std::string preferred_rack;  // empty: none; tasks are slower elsewhere
  int max_per_worker = 0;      // 0: no limit
  bool speculative = false;    // several runs of one task may be active
  bool perpetual = false;      // runs until the job is cancelled, restarted however it ends
  std::string image;           // tasks of one image behave alike
  int64_t target_tail_ms = 0;  // 0: serves no users of its own
  bool best_effort = false;    // runs on processor time that other tasks leave unused
  int max_unavailable = 0;     // of a perpetual step, by the scheduler's own actions

  friend bool operator==(const Step& a, const Step& b) {
    return std::tie(a.replicas, a.request, a.estimate_ms, a.after, a.checkpoint, a.gang,
                    a.same_rack, a.required_label, a.preferred_rack, a.max_per_worker,
                    a.speculative, a.perpetual, a.image, a.target_tail_ms, a.best_effort,
                    a.max_unavailable) ==
           std::tie(b.replicas, b.request, b.estimate_ms, b.after, b.checkpoint, b.gang,
                    b.same_rack, b.required_label, b.preferred_rack, b.max_per_worker,
                    b.speculative, b.perpetual, b.image, b.target_tail_ms, b.best_effort,
                    b.max_unavailable);
  }
};

// The rules of a queue at the time a job was accepted. A later release changes new jobs only.
struct QueueRules {
  std::string queue;               // name of the queue
  std::string service;             // pool of workers that runs its tasks
  int priority = 0;                // 0 comes first
  int max_attempts = 1;            // failed runs of a task after which the job has failed
  double stretch = 1.0;            // objective: this times the longest chain of work...
  int64_t target_duration_ms = 0;  // ...plus this
  bool needs_permits = false;      // a policy service names the workers that may run a step

  friend bool operator==(const QueueRules& a, const QueueRules& b) {
    return std::tie(a.queue, a.service, a.priority, a.max_attempts, a.stretch, a.target_duration_ms,
                    a.needs_permits) == std::tie(b.queue, b.service, b.priority, b.max_attempts,
                                                 b.stretch, b.target_duration_ms, b.needs_permits);
  }
};

struct Job {
  std::string id;    // chosen by the caller
  std::string spec;  // opaque text that is passed to every run
  QueueRules rules;
  std::vector<Step> steps;
  int occurrences = 0;      // 0: runs once, at once
  int64_t first_ms = 0;     // when occurrence 0 is due, milliseconds since the Unix epoch
  int64_t interval_ms = 0;  // between occurrences
  int64_t accepted_ms = 0;  // milliseconds since the Unix epoch

  friend bool operator==(const Job& a, const Job& b) {
    return std::tie(a.id, a.spec, a.rules, a.steps, a.occurrences, a.first_ms, a.interval_ms,
                    a.accepted_ms) == std::tie(b.id, b.spec, b.rules, b.steps, b.occurrences,
                                               b.first_ms, b.interval_ms, b.accepted_ms);
  }
};

// One task of one occurrence of a job.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend bool operator==(const TaskId& a, const TaskId& b) {
    return std::tie(a.job, a.occurrence, a.step, a.index) ==
           std::tie(b.job, b.occurrence, b.step, b.index);
  }
  friend bool operator<(const TaskId& a, const TaskId& b) {
    return std::tie(a.job, a.occurrence, a.step, a.index) <
           std::tie(b.job, b.occurrence, b.step, b.index);
  }
};

// How often the steps of the job run.
inline int Occurrences(const Job& job) { return job.occurrences > 0 ? job.occurrences : 1; }

// The stored form of a job, as MessagePack. Decode fails with kStoreBadAnswer.
std::string Encode(const Job& job);
Result<Job> DecodeJob(const std::string& bytes);

// An empty string, or what is wrong with the steps: a step that waits for itself or a later one, or
// figures out of range.
std::string ValidationError(const Job& job);

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_JOB_H_
