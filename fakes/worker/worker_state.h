// One worker host as the platform runs it: leases, epochs, tasks and guards.
#ifndef POMELOPOND_FAKES_WORKER_WORKER_STATE_H_
#define POMELOPOND_FAKES_WORKER_WORKER_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "planning/worker_protocol.h"

namespace pomelopond::fakes {

// Faults of a worker host.
struct WorkerFaults {
  bool fail_starts = false;  // every task fails right after its start
  bool cut_off = false;      // messages are not answered
  // Messages of this and later epochs are neither taken nor answered (0: all are), as when the
  // worker can be reached by the previous owner of its shard only.
  int64_t cut_off_from_epoch = 0;
};

// One run of a task, for checks of "one place only" by the worker's own record.
struct RunRecord {
  planning::AttemptId id;
  TimePoint started;
  TimePoint ended;  // TimePoint::max() while it runs
  int64_t from_checkpoint = 0;
  planning::ReportState state = planning::ReportState::kRunning;
};

class WorkerState {
 public:
  WorkerState(Resources capacity, uint64_t incarnation, TimePoint start);

  planning::ExchangeReply Exchange(const planning::ExchangeRequest& request, TimePoint now);

  // The worker process ends with its tasks and starts again. It forgets attempts and leases and has
  // a new clock; the epochs are on its disk, and the record of runs is kept for the tests.
  void Restart(uint64_t incarnation, TimePoint now);

  // Ends tasks that are done and those whose lease has ended.
  void Advance(TimePoint now);

  // All runs since the start of this worker.
  const std::vector<RunRecord>& runs() const { return runs_; }
  Resources used() const;
  // The most that was ever in use, by dimension.
  Resources peak() const { return peak_; }
  WorkerFaults faults;

 private:
  struct Attempt {
    std::string shard;
    planning::AttemptId id;
    Resources need;
    Duration run_time{};
    TimePoint started;
    int64_t from_checkpoint = 0;
    planning::ReportState state = planning::ReportState::kRunning;
    int64_t checkpoint = 0;
    int64_t change_sequence = 0;  // report sequence of the last change
    size_t run_index = 0;         // index in runs_
  };
  struct Shard {
    int64_t epoch = 0;
    int64_t sequence = 0;
    TimePoint lease_end;
  };

  void EndAttempt(Attempt* attempt, planning::ReportState state, TimePoint now);
  int64_t StartAttempt(const planning::ExchangeRequest& request, const planning::StartOrder& order,
                       TimePoint now);

  Resources capacity_;
  uint64_t incarnation_;
  TimePoint start_;
  std::map<std::string, Shard> shards_;
  std::map<std::string, Attempt> attempts_;  // by task
  std::vector<RunRecord> runs_;
  Resources peak_;
  int64_t report_sequence_ = 0;
};

}  // namespace pomelopond::fakes

#endif  // POMELOPOND_FAKES_WORKER_WORKER_STATE_H_
