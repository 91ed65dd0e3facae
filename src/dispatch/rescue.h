// Runs on slow workers: which of them go on elsewhere, start again elsewhere or get a copy.
#ifndef POMELOPOND_DISPATCH_RESCUE_H_
#define POMELOPOND_DISPATCH_RESCUE_H_

#include <cstdint>
#include <tuple>
#include <vector>

#include "base/time.h"
#include "dispatch/job_table.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

enum class Rescue {
  kNone,
  kResume,         // stop, and go on from the checkpoint
  kRestart,        // stop, and start from the beginning
  kCopy,           // start a second run
  kMovePerpetual,  // stop, and start elsewhere
};

const char* RescueName(Rescue rescue);

// What callers gain from a rescue of the run on a slow worker, if it is worth its cost.
struct RescueChoice {
  Rescue rescue = Rescue::kNone;
  double remaining_ms = 0;  // where the run is
  double elsewhere_ms = 0;  // on another worker
};

// `expected_ms` is the expected duration of the task. `relative` is the speed of the run relative
// to its image, negative if unknown.
RescueChoice ChooseRescue(const RunState& run, const jobs::Step& step, const WorkerSpeed& speed,
                          double relative, double expected_ms, TimePoint now);

// True when the failure of a copy beside the task's one run leaves an attempt.
bool MayCopy(const TaskState& task, int max_attempts);

// True when the task has not been rescued too often.
bool MayRescue(const TaskState& task, bool perpetual, TimePoint now);

// Since this owner took over.
struct RescueCounts {
  int64_t slow_verdicts = 0;
  int64_t resumed = 0;
  int64_t restarted = 0;
  int64_t moved = 0;  // perpetual tasks
  int64_t copies = 0;
  int64_t copies_first = 0;       // copies that completed before the first run
  int64_t discarded_core_ms = 0;  // work of runs that were stopped for these reasons
  int64_t lines_left_out = 0;
};

// What kept runs on slow workers from being rescued in the last round.
struct RescueRound {
  int rescued = 0;
  int without_room = 0;
  int behind_waiting = 0;  // more urgent tasks want the room
  int at_limit = 0;        // of attempts, of rescues of a task, or of unavailable tasks of a step
};

// A run that a round may rescue.
struct RescueCandidate {
  WorkerState* worker = nullptr;
  RunId id;
  RescueChoice choice;
  int priority = 0;
};

// The most urgent ones first, and of those the ones that gain most.
bool IsRescuedBefore(const RescueCandidate& a, const RescueCandidate& b);

struct RescueState {
  TimePoint next_round{};
  RescueCounts counts;
  RescueRound round;                  // the last one
  std::vector<jobs::TaskId> pending;  // tasks whose runs are being stopped
  TimePoint lines_until{};            // end of the period of the lines
  int lines = 0;                      // in the present period
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_RESCUE_H_
