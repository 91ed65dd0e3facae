// Jobs as callers submit them, and their stored form. A job consists of steps, and a step of equal
// tasks.
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
  int64_t estimate_ms = 0;     // the caller's rough estimate of the duration of one task
  std::vector<int> after;      // earlier steps that must be done before this step starts
  bool checkpoint = false;     // tasks write checkpoints from which a later run resumes
  bool gang = false;           // tasks make progress only while all members of one run are active
  bool same_rack = false;      // the tasks of a gang are slower on more than one rack
  std::string required_label;  // label that the worker must have; empty: any worker
  std::string preferred_rack;  // tasks are slower on other racks; empty: none
  int max_per_worker = 0;      // tasks of the step on one worker; 0: no limit
  bool speculative = false;    // several runs of one task may be active at the same time
  bool perpetual = false;      // runs until the job is cancelled; restarted whenever a run ends
  std::string image;           // tasks of one image behave alike
  // Target for the tail of the response time in ms of a task that serves users; 0: serves no users.
  int64_t target_tail_ms = 0;
  bool best_effort = false;  // uses only processor time that other tasks leave unused
  // Tasks of a perpetual step that the scheduler itself may make unavailable at one time.
  int max_unavailable = 0;

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

// Rules of a queue at the time when a job is accepted. A later release affects new jobs only.
struct QueueRules {
  std::string queue;               // name of the queue
  std::string service;             // pool of workers that runs the tasks
  int priority = 0;                // 0 is the most urgent
  int max_attempts = 1;            // number of failed runs of one task that fail the job
  double stretch = 1.0;            // the objective is this factor times the critical path...
  int64_t target_duration_ms = 0;  // ...plus this constant, in ms
  bool needs_permits = false;      // a policy service selects the workers that may run a step

  friend bool operator==(const QueueRules& a, const QueueRules& b) {
    return std::tie(a.queue, a.service, a.priority, a.max_attempts, a.stretch, a.target_duration_ms,
                    a.needs_permits) == std::tie(b.queue, b.service, b.priority, b.max_attempts,
                                                 b.stretch, b.target_duration_ms, b.needs_permits);
  }
};

struct Job {
  std::string id;    // chosen by the caller
  std::string spec;  // opaque text that every run receives
  QueueRules rules;
  std::vector<Step> steps;
  int occurrences = 0;      // number of occurrences; 0: runs once, at once
  int64_t first_ms = 0;     // when occurrence 0 is due, in milliseconds since the Unix epoch
  int64_t interval_ms = 0;  // time between occurrences in ms
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

// Number of times that the steps of the job run.
inline int Occurrences(const Job& job) { return job.occurrences > 0 ? job.occurrences : 1; }

// Number of tasks of one occurrence.
int64_t TasksOfOccurrence(const Job& job);

// True when the job has a perpetual step.
bool IsPerpetual(const Job& job);

// Stored form of a job in MessagePack. DecodeJob returns kStoreBadAnswer for malformed input.
std::string Encode(const Job& job);
Result<Job> DecodeJob(const std::string& bytes);

// Returns an empty string for a valid job, else a description of the error: a step that depends on
// itself or a later step, or a value out of range.
std::string ValidationError(const Job& job);

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_JOB_H_
