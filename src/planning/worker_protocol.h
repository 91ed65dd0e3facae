// Messages between the owner of a shard and a worker host, exchanged as JSON by POST /v1/exchange.
#ifndef POMELOPOND_PLANNING_WORKER_PROTOCOL_H_
#define POMELOPOND_PLANNING_WORKER_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "base/resources.h"
#include "base/time.h"

namespace pomelopond::planning {

// Identifies one attempt to run a task.
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

// An attempt that the worker is to start.
struct StartOrder {
  AttemptId id;
  Resources need;
  Duration run_time{};     // run time of the task; zero: until it is stopped
  int64_t checkpoint = 0;  // sequence number of the checkpoint to resume from; 0: none
};

// A message from the owner to a worker. Messages of one epoch carry increasing sequence numbers,
// and a worker refuses a message whose number is not above the last one. A delayed or repeated
// message therefore never starts a task again.
struct ExchangeRequest {
  std::string shard;
  int64_t epoch = 0;
  int64_t sequence = 0;
  // Incarnation in the worker's last answer, 0 before the first answer. A worker that has restarted
  // since that answer does not renew its lease, because the echoed clock reading is not its own,
  // and reports all its tasks.
  uint64_t incarnation = 0;
  // Clock reading in the worker's last answer. The lease ends at this reading plus `lease_ttl`, so
  // a delayed renewal cannot lengthen it. Zero renews no lease.
  Duration worker_clock{};
  Duration lease_ttl{};
  // Last report sequence number that the owner has journalled; 0: report all tasks.
  int64_t known = 0;
  std::vector<StartOrder> starts;
  std::vector<AttemptId> stops;  // attempts to stop with a checkpoint
  std::vector<AttemptId> acks;   // attempts whose end is journalled; the worker may forget them
};

enum class ReportState { kRunning, kStopped, kFinished, kFailed };

const char* ReportStateName(ReportState state);

// The state of one attempt on a worker.
struct TaskReport {
  AttemptId id;
  ReportState state = ReportState::kRunning;
  int64_t checkpoint = 0;
  Resources need;

  friend bool operator==(const TaskReport& a, const TaskReport& b) {
    return a.id == b.id && a.state == b.state && a.checkpoint == b.checkpoint && a.need == b.need;
  }
};

// An attempt that the worker refused to start.
struct Refusal {
  AttemptId id;
  int64_t code = 0;  // a ResultCode
};

// The worker's answer to an ExchangeRequest.
struct ExchangeReply {
  int64_t code = 0;  // a ResultCode; kStaleEpoch if the whole message was refused
  int64_t epoch = 0;
  uint64_t incarnation = 0;  // chosen at random at each start of the worker
  Duration worker_clock{};
  int64_t report_sequence = 0;  // sequence number of the latest report
  bool full = false;            // whether `reports` holds every task of the shard on this worker
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
