// Events of a shard: the durable steps that its journal records.
#ifndef POMELOPOND_PLANNING_EVENT_H_
#define POMELOPOND_PLANNING_EVENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "planning/task.h"

namespace pomelopond::planning {

enum class EventType {
  kAccept,   // a job
  kGrant,    // a task on a host, as a new attempt
  kRunning,  // the worker reported the attempt
  kStop,     // the attempt is to be stopped; the task still occupies its host
  kStopped,  // the attempt is over on its host without an end; the task waits for a place again
  kFinished,
  kFailed,  // the attempt ended in an error
  kCancel,  // the job
};

// Which members count depends on the type: kAccept uses `spec`, kCancel uses `job`, the others use
// `task` and `attempt`, kGrant `host`, kStopped, kFinished and kFailed `checkpoint`.
struct Event {
  EventType type = EventType::kAccept;
  JobSpec spec;
  std::string job;
  std::string task;
  int64_t attempt = 0;
  std::string host;
  int64_t checkpoint = 0;

  friend bool operator==(const Event& a, const Event& b) {
    return a.type == b.type && a.spec == b.spec && a.job == b.job && a.task == b.task &&
           a.attempt == b.attempt && a.host == b.host && a.checkpoint == b.checkpoint;
  }
};

Event AcceptEvent(JobSpec spec);
Event CancelEvent(const std::string& job);
Event TaskEvent(EventType type, const std::string& task, int64_t attempt);

// One journal record (MessagePack).
std::string EncodeEvents(const std::vector<Event>& events);
// Fails with kStoreBadAnswer.
Result<std::vector<Event>> DecodeEvents(const std::string& bytes);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_EVENT_H_
