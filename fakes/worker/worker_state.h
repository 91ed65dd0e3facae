// Provides a simulated worker host: its leases, epochs and tasks, and the checks that refuse stale
// messages and starts.
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
  bool cut_off = false;      // every message fails with status 503 and has no effect
  // Messages of this and later epochs fail with status 503 and have no effect (0: no limit). This
  // simulates a worker that only the previous owner of its shard can reach.
  int64_t cut_off_from_epoch = 0;
};

// The worker's own record of one run of a task. Tests use it to check that a task never runs in two
// places at once.
struct RunRecord {
  planning::AttemptId id;
  TimePoint started;
  TimePoint ended;              // TimePoint::max() while the task runs
  int64_t from_checkpoint = 0;  // checkpoint that the run resumed from; 0: none
  planning::ReportState state = planning::ReportState::kRunning;
};

// The state of one simulated worker host. Not thread-safe.
class WorkerState {
 public:
  WorkerState(Resources capacity, uint64_t incarnation, TimePoint start);

  // Handles one message from the owner of a shard.
  planning::ExchangeReply Exchange(const planning::ExchangeRequest& request, TimePoint now);

  // Simulates a restart of the worker process, which ends its tasks. The worker forgets attempts
  // and leases, and its clock starts at zero. It keeps the epochs, which it stores on disk, and the
  // record of runs, which the tests need.
  void Restart(uint64_t incarnation, TimePoint now);

  // Ends the tasks that have finished by `now` and those whose lease has expired.
  void Advance(TimePoint now);

  // All runs since the start of this worker.
  const std::vector<RunRecord>& runs() const { return runs_; }
  // Resources of the running tasks.
  Resources used() const;
  // The maximum of used() since the start, separately for each dimension.
  Resources peak() const { return peak_; }
  WorkerFaults faults;

 private:
  struct Attempt {
    std::string shard;  // shard whose owner started the attempt
    planning::AttemptId id;
    Resources need;
    Duration run_time{};  // run time of the task; zero: until it is stopped
    TimePoint started;
    int64_t from_checkpoint = 0;  // checkpoint that the attempt resumed from; 0: none
    planning::ReportState state = planning::ReportState::kRunning;
    int64_t checkpoint = 0;       // last checkpoint
    int64_t change_sequence = 0;  // report sequence number of the last change
    size_t run_index = 0;         // index in runs_
  };
  struct Shard {
    int64_t epoch = 0;     // highest epoch of an accepted message
    int64_t sequence = 0;  // highest message number of this epoch
    TimePoint lease_end;   // when the tasks of the shard must end without a renewal
  };

  // Records the end of a running attempt.
  void EndAttempt(Attempt* attempt, planning::ReportState state, TimePoint now);
  // Returns 0 if the attempt was started or exists already, otherwise a ResultCode.
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
