// Messages between the owner of a shard and a worker host: POST /v1/exchange, JSON.
#ifndef POMELOPOND_PLANNING_WORKER_PROTOCOL_H_
#define POMELOPOND_PLANNING_WORKER_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "base/resources.h"
#include "base/time.h"

namespace pomelopond::planning {

// One attempt at running a task.
struct AttemptId {
  std::string task;
  int64_t attempt = 0;

  friend bool operator==(const AttemptId& a, const AttemptId& b) {
    return a.attempt == b.attempt && a.task == b.task;
  }
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return a.task != b.task ? a.task < b.task : a.attempt < b.attempt;
  }
};

struct StartOrder {
  AttemptId id;
  Resources need;
  Duration run_time{};     // zero: runs until it is stopped
  int64_t checkpoint = 0;  // sequence to resume from, 0: from the beginning
};

// Messages of one epoch carry growing sequence numbers, and a worker refuses a number that is not
// above the last: a delayed or repeated message can never start a task again.
struct ExchangeRequest {
  std::string shard;
  int64_t epoch = 0;
  int64_t sequence = 0;
  // Of the worker's last answer, 0 before the first. A worker that has restarted since then renews
  // nothing, because the echoed clock is not its own, and reports everything.
  uint64_t incarnation = 0;
  // The worker's clock from its last answer; the lease ends at this reading plus `lease_ttl`. Zero
  // renews nothing. A delayed renewal therefore cannot lengthen a lease.
  Duration worker_clock{};
  Duration lease_ttl{};
  int64_t known = 0;  // last report sequence that the owner has journalled, 0: report everything
  std::vector<StartOrder> starts;
  std::vector<AttemptId> stops;  // stop with a checkpoint
  std::vector<AttemptId> acks;   // ends that are journalled; the worker may forget them
};

enum class ReportState { kRunning, kStopped, kFinished, kFailed };

const char* ReportStateName(ReportState state);

struct TaskReport {
  AttemptId id;
  ReportState state = ReportState::kRunning;
  int64_t checkpoint = 0;
  Resources need;

  friend bool operator==(const TaskReport& a, const TaskReport& b) {
    return a.id == b.id && a.state == b.state && a.checkpoint == b.checkpoint && a.need == b.need;
  }
};

struct Refusal {
  AttemptId id;
  int64_t code = 0;  // a ResultCode
};

struct ExchangeReply {
  int64_t code = 0;  // a ResultCode; kStaleEpoch when the message was refused as a whole
  int64_t epoch = 0;
  uint64_t incarnation = 0;  // random per start of the worker
  Duration worker_clock{};
  int64_t report_sequence = 0;
  bool full = false;  // `reports` holds every task of the shard on this worker
  std::vector<TaskReport> reports;
  std::vector<Refusal> refusals;
};

Json ToJson(const ExchangeRequest& request);
ExchangeRequest ReadExchangeRequest(const Json& document, FieldErrors* errors);
Json ToJson(const ExchangeReply& reply);
ExchangeReply ReadExchangeReply(const Json& document, FieldErrors* errors);

Json ToJson(const Resources& resources);
Resources ReadResources(const Json& document, const std::string& path, FieldErrors* errors);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_WORKER_PROTOCOL_H_
