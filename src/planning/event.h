// Durable events of a shard, which its journal records, and their encoding.
#ifndef POMELOPOND_PLANNING_EVENT_H_
#define POMELOPOND_PLANNING_EVENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "planning/task.h"

namespace pomelopond::planning {

enum class EventType {
  kAccept,    // a job was accepted
  kGrant,     // a task was granted to a host, as a new attempt
  kRunning,   // the worker reported that it runs the attempt
  kStop,      // the attempt is to be stopped; the task still occupies its host
  kStopped,   // the attempt ended on its host without an outcome; the task is pending again
  kFinished,  // the attempt finished the task
  kFailed,    // the attempt ended with an error
  kCancel,    // the job was cancelled
};

// One event. The type determines which members are set: kAccept sets `spec`, kCancel sets `job`,
// the other types set `task` and `attempt`; in addition kGrant sets `host`, and kStopped, kFinished
// and kFailed set `checkpoint`.
struct Event {
  EventType type = EventType::kAccept;
  JobSpec spec;
  std::string job;         // identifier of the job
  std::string task;        // identifier of the task
  int64_t attempt = 0;     // number of the attempt
  std::string host;        // identifier of the host
  int64_t checkpoint = 0;  // sequence number of the last checkpoint

  friend bool operator==(const Event& a, const Event& b) {
    return a.type == b.type && a.spec == b.spec && a.job == b.job && a.task == b.task &&
           a.attempt == b.attempt && a.host == b.host && a.checkpoint == b.checkpoint;
  }
};

Event AcceptEvent(JobSpec spec);
Event CancelEvent(const std::string& job);
Event TaskEvent(EventType type, const std::string& task, int64_t attempt);

// Encodes events as one journal record in MessagePack.
std::string EncodeEvents(const std::vector<Event>& events);
// Decodes one journal record. Fails with kStoreBadAnswer if it is malformed.
Result<std::vector<Event>> DecodeEvents(const std::string& bytes);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_EVENT_H_
