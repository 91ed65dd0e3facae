#include "dispatch/rescue.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"
#include "dispatch/preemption.h"

namespace pomelopond::dispatch {
namespace {

constexpr double kFullPercent = 100;
// Time until a stopped run is reported and its task has started elsewhere: an upper bound for
// workers that answer, since a stop takes some hundred ms and a start about 100 ms.
constexpr double kMoveCostMs = 600;
// The same for a copy, which needs no stop.
constexpr double kCopyCostMs = 300;
// Without a checkpoint the remaining time exceeds the whole time elsewhere by this factor.
constexpr double kRestartFactor = 2;
// A run that is at least this fast relative to its image stays where it is.
constexpr double kNormalRunSpeed = 0.5;
// Least share of its duration per time that a run without progress is taken to make.
constexpr double kMinRunSpeed = 0.01;

// Bounds. A task that is slow on several workers is slow by itself.
constexpr int kMaxRescuesOfTask = 2;
constexpr Duration kPerpetualInterval = std::chrono::seconds(10);
constexpr Duration kRoundInterval = std::chrono::milliseconds(100);
// Rescues of one round, and tasks whose runs are being stopped at one time. More would exceed the
// start orders in flight.
constexpr int kRescuesPerRound = 32;
constexpr int kPerpetualPerRound = 4;
constexpr size_t kMaxPending = 64;
// Lines about single workers and runs.
constexpr int kLinesPerSecond = 20;

double RemainingMs(const RunState& run, const jobs::Step& step, const WorkerSpeed& speed,
                   double expected_ms, TimePoint now) {
  const double left = (kFullPercent - run.progress.percent) / kFullPercent;
  if (run.meter.speed < 0) return left * expected_ms / ExpectedSpeed(speed);
  const double whole =
      static_cast<double>(step.estimate_ms) / std::max(run.meter.speed, kMinRunSpeed);
  const double passed = static_cast<double>(Milliseconds(now - run.progress.reported_at));
  return std::max(0.0, left * whole - passed);
}

// Time of the whole task on another worker. A task that is long by itself is so elsewhere too.
double WholeMs(const RunState& run, const jobs::Step& step, const WorkerSpeed& speed,
               double expected_ms) {
  if (run.meter.speed < 0) return expected_ms;
  const double here =
      static_cast<double>(step.estimate_ms) / std::max(run.meter.speed, kMinRunSpeed);
  return here * ExpectedSpeed(speed);
}

// Part of the processor time that the run requests and has got since the last report.
double ProcessorShare(const RunState& run) {
  if (!run.best_effort) return 1;
  if (run.pace == 0) return 0;
  if (run.load <= 0 || run.request.cpu_milli <= 0)
    return run.pace < 0 ? 1 : run.pace / kFullPercent;
  return static_cast<double>(run.load) / static_cast<double>(run.request.cpu_milli);
}

// What the run does tells nothing of its worker if it waits for others, is placed badly, or reports
// no progress.
bool TellsSpeed(const WorkerState& worker, const jobs::Step& step, TimePoint now) {
  if (step.perpetual || step.gang || step.estimate_ms <= 0 || IsCold(worker, now)) return false;
  return step.preferred_rack.empty() || step.preferred_rack == worker.info.rack;
}

}  // namespace

const char* RescueName(Rescue rescue) {
  switch (rescue) {
    case Rescue::kNone:
      return "none";
    case Rescue::kResume:
      return "resume";
    case Rescue::kRestart:
      return "restart";
    case Rescue::kCopy:
      return "copy";
    case Rescue::kMovePerpetual:
      return "move_perpetual";
  }
  return "unknown";
}

RescueChoice ChooseRescue(const RunState& run, const jobs::Step& step, const WorkerSpeed& speed,
                          double relative, double expected_ms, TimePoint now) {
  RescueChoice out;
  if (run.phase != RunPhase::kRunning || step.gang) return out;
  if (step.perpetual) {
    out.rescue = Rescue::kMovePerpetual;
    return out;
  }
  if (run.best_effort && run.pace == 0) return out;
  if (relative >= kNormalRunSpeed) return out;
  // A run that started after the verdict is a probe, or had no other place.
  if (run.meter.speed < 0 && run.ordered_at >= speed.slow_since) return out;
  out.remaining_ms = RemainingMs(run, step, speed, expected_ms, now);
  out.elsewhere_ms = WholeMs(run, step, speed, expected_ms);
  if (step.checkpoint) {
    out.elsewhere_ms = out.remaining_ms * ExpectedSpeed(speed);
    if (out.remaining_ms > out.elsewhere_ms + kMoveCostMs) out.rescue = Rescue::kResume;
  } else if (step.speculative) {
    if (out.remaining_ms > out.elsewhere_ms + kCopyCostMs) out.rescue = Rescue::kCopy;
  } else if (out.remaining_ms >
             std::max(kRestartFactor * out.elsewhere_ms, out.elsewhere_ms + kMoveCostMs)) {
    out.rescue = Rescue::kRestart;
  }
  return out;
}

bool MayCopy(const TaskState& task, int max_attempts) {
  return task.runs.size() == 1 &&
         static_cast<int>(task.progress.failed_runs.size()) + 1 < max_attempts;
}

bool MayRescue(const TaskState& task, bool perpetual, TimePoint now) {
  if (task.runs.size() != 1) return false;
  if (!perpetual) return task.rescues < kMaxRescuesOfTask;
  return task.rescues == 0 || now >= task.rescued_at + kPerpetualInterval;
}

bool IsRescuedBefore(const RescueCandidate& a, const RescueCandidate& b) {
  const auto gain = [](const RescueCandidate& it) {
    return it.choice.remaining_ms - it.choice.elsewhere_ms;
  };
  if (a.priority != b.priority) return a.priority < b.priority;
  return gain(a) > gain(b);
}

// Measuring.

void Dispatcher::MeasureRun(WorkerState* worker, const JobEntry& entry, const RunId& id,
                            RunState* run, int percent, bool ended, TimePoint now) {
  const jobs::Step& step = StepOf(entry, id.task);
  if (!TellsSpeed(*worker, step, now) || run->phase != RunPhase::kRunning) return;
  SpeedMeter& meter = run->meter;
  if (!meter.begun) {
    // A run that resumes begins with the progress of an earlier one.
    const bool known = !run->progress.resumes && run->progress.first_at;
    if (known) BeginMeter(&meter, 0, *run->progress.first_at);
    if (!known) return BeginMeter(&meter, percent, now);
  }
  if (!AdvanceMeter(&meter, percent, ProcessorShare(*run), step.estimate_ms,
                    ExpectedMs(durations_, step), ended, now)) {
    return;
  }
  const ImageIndex image = IndexOfImage(&speeds_, worker->info.service, run->image);
  if (image == kNoImage) return;
  AddSample(&worker->speed, {HashOfStep(id.task), id.task.index, image, meter.speed, now});
}

void Dispatcher::MeasureEnd(WorkerState* worker, RunState* run, const RunId& id, TimePoint now) {
  JobEntry* entry = FindEntry(id.task.job);
  TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id.task);
  if (task == nullptr || task->progress.done) return;
  MeasureRun(worker, *entry, id, run, static_cast<int>(kFullPercent), true, now);
  rescue_.counts.copies_first += run->is_copy ? 1 : 0;
  if (!StepOf(*entry, id.task).speculative) return;
  for (const JobRun& it : entry->runs) {
    if (!(it.id->task == id.task) || it.id->run == id.run) continue;
    rescue_.counts.discarded_core_ms += static_cast<int64_t>(LostWork(*it.run, now) * 1000);
  }
}

void Dispatcher::UpdateWorkerSpeeds(TimePoint now) {
  if (now < speeds_.next_update) return;
  speeds_.next_update = now + kSpeedInterval;
  std::vector<WorkerState*> workers;
  std::vector<WorkerSpeed*> speeds;
  for (auto& [id, it] : workers_) {
    workers.push_back(&it);
    speeds.push_back(&it.speed);
  }
  for (const VerdictChange& it : UpdateSpeeds(&speeds_, speeds, now)) {
    const WorkerState& worker = *workers[it.worker];
    rescue_.counts.slow_verdicts += worker.speed.slow ? 1 : 0;
    capacity_changed_ = capacity_changed_ || !worker.speed.slow;
    if (!TakeRescueLine(now)) continue;
    Log(LogLevel::kInfo, "dispatch", worker.speed.slow ? "worker_slow" : "worker_normal",
        {{"worker", worker.info.id},
         {"speed_percent", static_cast<int>(it.relative * kFullPercent)},
         {"samples", it.samples},
         {"runs", worker.runs.size()},
         {"slow_workers", speeds_.slow_workers}});
  }
  for (WorkerSpeed* it : speeds) it->is_avoided = it->slow && limits_.rescue_slow_runs;
}

bool Dispatcher::TakeRescueLine(TimePoint now) {
  if (now >= rescue_.lines_until) {
    rescue_.lines_until = now + std::chrono::seconds(1);
    rescue_.lines = 0;
  }
  rescue_.lines += 1;
  if (rescue_.lines <= kLinesPerSecond) return true;
  rescue_.counts.lines_left_out += 1;
  return false;
}

// Rescuing.

std::vector<RescueCandidate> Dispatcher::RescueCandidates(TimePoint now) {
  std::vector<RescueCandidate> out;
  for (auto& [worker_id, worker] : workers_) {
    if (!worker.speed.is_avoided || !worker.contacted || worker.unanswered_calls > 0) continue;
    for (const auto& [id, run] : worker.runs) {
      JobEntry* entry = FindEntry(id.task.job);
      const TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id.task);
      if (task == nullptr || jobs::IsFinal(entry->state) || task->progress.done) continue;
      const jobs::Step& step = StepOf(*entry, id.task);
      const ImageIndex image = IndexOfImage(&speeds_, worker.info.service, run.image);
      const double relative =
          run.meter.speed < 0 ? -1 : RelativeSpeed(speeds_, image, run.meter.speed);
      const RescueChoice choice =
          ChooseRescue(run, step, worker.speed, relative, ExpectedMs(durations_, step), now);
      if (choice.rescue == Rescue::kNone) continue;
      out.push_back({&worker, id, choice, run.priority});
    }
  }
  std::sort(out.begin(), out.end(), IsRescuedBefore);
  return out;
}

// Room of the round that is taken: by tasks whose runs are being stopped, and by the present one.
class Dispatcher::RescueRoom {
 public:
  RescueRoom(Dispatcher* dispatcher, TimePoint now) : dispatcher_(*dispatcher), now_(now) {}
  RescueRoom(const RescueRoom&) = delete;
  RescueRoom& operator=(const RescueRoom&) = delete;
  ~RescueRoom() {
    for (const auto& [worker, id] : taken_) {
      RemoveRun(worker, id);
      Reindex(&dispatcher_.index_, worker);
    }
  }

  // Returns a worker with room that is not slow, or null.
  WorkerState* Find(JobEntry* entry, const jobs::TaskId& id) {
    PlacementRequest request = dispatcher_.RequestOf(entry, id);
    request.task = FindTask(entry, id);
    request.avoids_slow = true;
    request.avoids_suspect = !request.step->perpetual;
    return ChooseWorker(dispatcher_.index_, request, now_);
  }
  void Take(WorkerState* worker, const JobEntry& entry, const jobs::TaskId& id) {
    // No run has this number.
    const RunId run{id, -1};
    AddRun(worker, run, StepOf(entry, id), entry.job.rules.priority, now_);
    Reindex(&dispatcher_.index_, worker);
    taken_.emplace_back(worker, run);
  }

 private:
  Dispatcher& dispatcher_;
  const TimePoint now_;
  std::vector<std::pair<WorkerState*, RunId>> taken_;
};

// Runs move only into room that no waiting task of a more urgent priority wants, copies only into
// room that none of the same priority wants either: their tasks have a run.
bool Dispatcher::IsBehindWaiting(const RescueCandidate& candidate,
                                 std::map<std::string, std::optional<int>>* waiting, TimePoint now,
                                 int64_t wall_ms) const {
  const std::string& service = candidate.worker->info.service;
  const auto [urgent, added] = waiting->try_emplace(service);
  if (added) urgent->second = MostUrgentWaiting(service, now, wall_ms);
  if (!urgent->second) return false;
  return candidate.choice.rescue == Rescue::kCopy ? candidate.priority >= *urgent->second
                                                  : candidate.priority > *urgent->second;
}

// Tasks whose runs are being stopped still need their room.
void Dispatcher::ReserveForPending(RescueRoom* room) {
  std::vector<jobs::TaskId> pending;
  for (const jobs::TaskId& id : rescue_.pending) {
    JobEntry* entry = FindEntry(id.job);
    const TaskState* task = entry == nullptr ? nullptr : FindTask(entry, id);
    if (task == nullptr || jobs::IsFinal(entry->state) || task->progress.done) continue;
    const bool started = std::any_of(task->runs.begin(), task->runs.end(), [&](const auto& it) {
      const WorkerState* worker = FindWorker(it.worker);
      return worker != nullptr && worker->runs.at({id, it.run}).phase != RunPhase::kStopping;
    });
    if (started) continue;
    pending.push_back(id);
    WorkerState* target = room->Find(entry, id);
    if (target != nullptr) room->Take(target, *entry, id);
  }
  rescue_.pending = std::move(pending);
}

void Dispatcher::RescueSlowRuns(TimePoint now, int64_t wall_ms, Orders* orders) {
  UpdateWorkerSpeeds(now);
  if (!limits_.rescue_slow_runs || now < rescue_.next_round) return;
  if (speeds_.slow_workers == 0 && rescue_.pending.empty()) {
    rescue_.round = {};
    return;
  }
  if (starts_held_ || now >= last_proof_ + limits_.lease_horizon) return;
  rescue_.next_round = now + kRoundInterval;
  rescue_.round = {};
  std::map<std::string, std::optional<int>> waiting;
  std::set<std::tuple<std::string, int, int>> moved_steps;
  std::vector<std::pair<RescueCandidate, WorkerState*>> copies;
  {
    RescueRoom room(this, now);
    ReserveForPending(&room);
    for (const RescueCandidate& it : RescueCandidates(now)) {
      if (rescue_.round.rescued >= kRescuesPerRound) break;
      if (rescue_.pending.size() >= kMaxPending) break;
      if (IsBehindWaiting(it, &waiting, now, wall_ms)) {
        rescue_.round.behind_waiting += 1;
        continue;
      }
      WorkerState* target = RescueTarget(it, &room, &moved_steps, now);
      if (target == nullptr) continue;
      room.Take(target, *FindEntry(it.id.task.job), it.id.task);
      if (it.choice.rescue == Rescue::kCopy) {
        copies.emplace_back(it, target);
      } else {
        StopSlowRun(it, *target, now);
      }
      rescue_.round.rescued += 1;
    }
  }
  for (const auto& [candidate, target] : copies) StartCopy(candidate, target, now, orders);
}

// Returns a worker that takes the run's task now, or null.
WorkerState* Dispatcher::RescueTarget(const RescueCandidate& candidate, RescueRoom* room,
                                      std::set<std::tuple<std::string, int, int>>* moved_steps,
                                      TimePoint now) {
  JobEntry* entry = FindEntry(candidate.id.task.job);
  const TaskState& task = *FindTask(entry, candidate.id.task);
  const bool perpetual = candidate.choice.rescue == Rescue::kMovePerpetual;
  const bool copy = candidate.choice.rescue == Rescue::kCopy;
  bool allowed = MayRescue(task, perpetual, now);
  if (copy) {
    allowed = allowed && MayCopy(task, entry->job.rules.max_attempts) && IsReconciled(*entry) &&
              MayStartTask(*entry, candidate.id.task, task);
  }
  const jobs::TaskId& id = candidate.id.task;
  const std::tuple<std::string, int, int> step{id.job, id.occurrence, id.step};
  // The tasks that this round has moved still count as available.
  if (perpetual) {
    allowed = allowed && moved_steps->size() < kPerpetualPerRound &&
              moved_steps->count(step) == 0 && MayBecomeUnavailable(*entry, id);
  }
  if (!allowed) rescue_.round.at_limit += 1;
  if (!allowed || (copy && IsAtStartLimit())) return nullptr;
  WorkerState* target = room->Find(entry, id);
  if (target == nullptr) rescue_.round.without_room += 1;
  if (target != nullptr && perpetual) moved_steps->insert(step);
  return target;
}

void Dispatcher::LogRescue(const RescueCandidate& candidate, const WorkerState& target,
                           TimePoint now) {
  if (!TakeRescueLine(now)) return;
  Log(LogLevel::kInfo, "dispatch", "run_rescued",
      {{"job", candidate.id.task.job},
       {"run", candidate.id.run},
       {"worker", candidate.worker->info.id},
       {"how", RescueName(candidate.choice.rescue)},
       {"room_on", target.info.id},
       {"remaining_ms", static_cast<int64_t>(candidate.choice.remaining_ms)},
       {"elsewhere_ms", static_cast<int64_t>(candidate.choice.elsewhere_ms)}});
}

void Dispatcher::StopSlowRun(const RescueCandidate& candidate, const WorkerState& target,
                             TimePoint now) {
  const RunId& id = candidate.id;
  JobEntry* entry = FindEntry(id.task.job);
  TaskState* task = FindTask(entry, id.task);
  task->rescues += 1;
  task->rescued_at = now;
  const RunState& run = candidate.worker->runs.at(id);
  RescueCounts& counts = rescue_.counts;
  const Rescue rescue = candidate.choice.rescue;
  if (rescue == Rescue::kResume) counts.resumed += 1;
  if (rescue == Rescue::kRestart) counts.restarted += 1;
  if (rescue == Rescue::kMovePerpetual) {
    counts.moved += 1;
  } else {
    counts.discarded_core_ms += static_cast<int64_t>(LostWork(run, now) * 1000);
  }
  LogRescue(candidate, target, now);
  rescue_.pending.push_back(id.task);
  RequestStop(candidate.worker, id, StopReason::kSlowWorker);
}

void Dispatcher::StartCopy(const RescueCandidate& candidate, WorkerState* target, TimePoint now,
                           Orders* orders) {
  const jobs::TaskId& id = candidate.id.task;
  JobEntry* entry = FindEntry(id.job);
  TaskState* task = FindTask(entry, id);
  // Copies of other tasks of the step may have started there in this round.
  PlacementRequest request = RequestOf(entry, id);
  request.task = task;
  if (!IsEligible(*target, request, now)) return;
  const RunId copy{id, NextRun(*task)};
  task->rescues += 1;
  task->rescued_at = now;
  StartRun(target, entry, copy, now, orders);
  const auto run = target->runs.find(copy);
  if (run == target->runs.end()) return;
  run->second.is_copy = true;
  rescue_.counts.copies += 1;
  LogRescue(candidate, *target, now);
}

}  // namespace pomelopond::dispatch
