// Placement: which waiting task starts on which worker, in the order of the jobs' turns.
#include <algorithm>
#include <iterator>
#include <tuple>

#include "base/log.h"
#include "dispatch/choose_worker.h"
#include "dispatch/dispatcher.h"

namespace pomelopond::dispatch {
namespace {

// Interval at which the estimates of a job are computed again, besides when one of its tasks is
// done. Expected durations drift slowly.
constexpr Duration kEstimateInterval = std::chrono::milliseconds(500);
// Waiting tasks are placed again after this time even if no run has ended, since backoffs of
// workers expire and expected tails fall.
constexpr Duration kPlacementInterval = std::chrono::milliseconds(50);
// Minimum time between placements, for each waiting job beyond kJobsWithoutPause. A placement tries
// them all, so without a pause an owner with many of them would do little else.
constexpr Duration kPausePerJob = std::chrono::microseconds(20);
constexpr size_t kJobsWithoutPause = 50;
// Number of turns that a placement sorts before it needs more.
constexpr size_t kTurnsSortedFirst = 128;
// Interval of the samples from which a job's unserved share is computed.
constexpr Duration kServiceCheckInterval = std::chrono::milliseconds(200);
// Work of a decision, in looks at a worker, after which it leaves the other turns to the next one.
// It takes some 5 ms of a core. The last job may exceed it, by a look at each worker for each step.
constexpr int64_t kWorkPerDecision = 200000;
// Work of a step that is passed over, in the same unit.
constexpr int64_t kWorkPerStep = 20;

Duration PlacementPause(size_t waiting_jobs) {
  if (waiting_jobs <= kJobsWithoutPause) return Duration::zero();
  return std::min<Duration>(kPausePerJob * (waiting_jobs - kJobsWithoutPause), kPlacementInterval);
}

PlacementTurn MakeTurn(const TurnRank& rank, JobEntry* entry, size_t position) {
  const auto& [priority, kind, pending, age_order] = rank;
  const int64_t kinds = static_cast<int64_t>(TurnKind::kTooLate) + 1;
  const int64_t group = (priority * kinds + static_cast<int64_t>(kind)) * 2 + (pending ? 1 : 0);
  return {kind, group, age_order, entry, position};
}

bool ComesBefore(const PlacementTurn& a, const PlacementTurn& b) {
  return std::tie(a.group, a.age_order, a.position) < std::tie(b.group, b.age_order, b.position);
}

// Puts the next turn in its place. At the limit of starts a placement comes to its first turns
// only.
void SortNextTurns(Placement* placement) {
  if (placement->next < placement->sorted) return;
  const auto begin = placement->turns.begin() + static_cast<std::ptrdiff_t>(placement->sorted);
  const size_t left = placement->turns.size() - placement->sorted;
  const size_t n = placement->sorted == 0 ? std::min(kTurnsSortedFirst, left) : left;
  const auto end = begin + static_cast<std::ptrdiff_t>(n);
  if (n < left) std::nth_element(begin, end, placement->turns.end(), ComesBefore);
  std::sort(begin, end, ComesBefore);
  placement->sorted += n;
}

// How much longer than expected the job's runs on slow workers take, in ms. Runs that go on
// elsewhere soon don't count.
double DelayOnSlowWorkers(const JobEntry& entry, TimePoint now) {
  double delay_ms = 0;
  for (const JobRun& it : entry.runs) {
    const RunState& run = *it.run;
    const bool stays = it.worker->speed.is_avoided && run.phase == RunPhase::kRunning &&
                       !run.perpetual && !run.checkpoint;
    const std::optional<TimePoint> end = stays ? ExpectedEnd(run.progress) : std::nullopt;
    if (!end) continue;
    const auto expected = static_cast<double>(Milliseconds(run.progress.expected_time)) *
                          ExpectedSpeed(it.worker->speed);
    delay_ms = std::max(delay_ms, static_cast<double>(Milliseconds(*end - now)) - expected);
  }
  return delay_ms;
}

}  // namespace

bool Dispatcher::IsWithheld(const JobEntry& entry, const TaskState& task) const {
  return !IsReconciled(entry) && !task.adopted;
}

int Dispatcher::CountWithheld(const JobEntry& entry) const {
  int n = 0;
  if (IsReconciled(entry)) return n;
  for (const auto& [k, steps] : entry.open) {
    for (const StepState& step : steps) {
      for (const TaskState& it : step.tasks) {
        if (it.progress.done || !it.runs.empty()) continue;
        n += IsWithheld(entry, it) ? 1 : 0;
      }
    }
  }
  return n;
}

void Dispatcher::PlaceTasks(TimePoint now, int64_t wall_ms, Orders* orders) {
  // Without a recent proof of ownership no start order would be sent.
  if (now >= last_proof_ + limits_.lease_horizon || starts_held_) return;
  if (IsAtStartLimit()) return;
  BeginDecision(&gang_sweep_);
  // Most decisions follow an answer that frees no capacity.
  const Duration interval =
      capacity_changed_ ? PlacementPause(placeable_.size()) : kPlacementInterval;
  // A placement that is paused is completed before the next one begins, so that its last turns
  // come.
  const bool goes_on = placement_.paused && !placement_.ended;
  const bool begins = !goes_on && now >= placement_.began + interval;
  if (begins) BeginPlacement(now, wall_ms);
  ContinuePlacement(now, wall_ms, orders);
  if (begins) PlaceGangsAtLimit(now, wall_ms, orders);
}

void Dispatcher::BeginPlacement(TimePoint now, int64_t wall_ms) {
  std::vector<PlacementTurn> turns = std::move(placement_.turns);
  turns.clear();
  placement_ = {};
  placement_.turns = std::move(turns);
  placement_.began = now;
  placements_ += 1;
  dispatch::BeginPlacement(&gang_sweep_);
  placement_.spare_processors = SpareProcessors(workers_, now);
  if (limits_.order_by_work && now >= rooms_valid_until_) {
    rooms_ = MeasureRoom(workers_, now);
    rooms_valid_until_ = now + kEstimateInterval;
  }
  const Duration passed = now - service_checked_at_;
  const bool check_service = passed >= kServiceCheckInterval;
  if (check_service) service_checked_at_ = now;
  for (JobEntry* it : placeable_) {
    BeginDue(it, wall_ms);
    if (check_service) UpdateUnservedShare(it, passed, wall_ms);
    const bool underused = IsInUnderusedPool(*it);
    const RunCounts runs = underused ? CountRuns(*it, now) : RunCounts{};
    UpdateIdleTime(it, underused, runs.working, now, wall_ms);
    CollectTurns(it, underused, runs, now, wall_ms);
  }
  capacity_changed_ = false;
}

void Dispatcher::ContinuePlacement(TimePoint now, int64_t wall_ms, Orders* orders) {
  const bool changed = capacity_changed_;
  placement_.most_room.clear();
  placement_.work = 0;
  placement_.paused = false;
  while (!placement_.ended && placement_.next < placement_.turns.size() && !IsAtStartLimit()) {
    placement_.paused = placement_.work >= kWorkPerDecision;
    if (placement_.paused) break;
    SortNextTurns(&placement_);
    const size_t present = placement_.next;
    const PlacementTurn& turn = placement_.turns[present];
    placement_.next += 1;
    if (!jobs::IsFinal(turn.entry->state)) PlaceJob(turn, now, wall_ms, orders);
    // At the limit tasks of the job may be left.
    if (IsAtStartLimit() && !IsOwed(turn.kind)) placement_.next = present;
  }
  if (IsAtStartLimit() && !placement_.limited) {
    placement_.limited = true;
    limited_placements_ += 1;
  }
  // The starts of this placement free no capacity. At the limit, more tasks may be placeable once
  // some starts are answered.
  capacity_changed_ = changed || IsAtStartLimit();
}

// Gangs start at the limit too. They rarely find room for all members at once, so they must not
// wait behind tasks that take the room one by one.
void Dispatcher::PlaceGangsAtLimit(TimePoint now, int64_t wall_ms, Orders* orders) {
  // The turns that a pause leaves come in the next decision.
  if (placement_.ended || placement_.paused) return;
  if (placement_.next >= placement_.turns.size()) return;
  const auto begin = placement_.turns.begin() + static_cast<std::ptrdiff_t>(placement_.next) + 1;
  std::vector<PlacementTurn> gangs;
  std::copy_if(begin, placement_.turns.end(), std::back_inserter(gangs),
               [](const PlacementTurn& it) { return it.entry->has_gang; });
  std::sort(gangs.begin(), gangs.end(), ComesBefore);
  for (const PlacementTurn& it : gangs) PlaceJob(it, now, wall_ms, orders);
}

bool Dispatcher::IsInPlacement(const JobEntry* entry) const {
  return std::any_of(placement_.turns.begin(), placement_.turns.end(),
                     [entry](const PlacementTurn& it) { return it.entry == entry; });
}

bool Dispatcher::IsInUnderusedPool(const JobEntry& entry) const {
  const auto spare = placement_.spare_processors.find(entry.job.rules.service);
  return spare != placement_.spare_processors.end() && IsUnderused(spare->second);
}

void Dispatcher::UpdateIdleTime(JobEntry* entry, bool underused, int working, TimePoint now,
                                int64_t wall_ms) {
  // A run that is paused, being stopped or not confirmed in time does nothing for its job. While
  // most of the pool is in use no first run follows, so the cheap answer is enough.
  const bool works = (!underused || working > 0) && HasActiveTask(*entry);
  const bool idle = !works && HasReadyTask(*entry, wall_ms);
  if (idle && !entry->idle_since) entry->idle_since = now;
  if (idle || !entry->idle_since) return;
  // A start that is refused must not set the job back in the order of first runs.
  if (!underused || IsServed(*entry)) entry->idle_since.reset();
}

void Dispatcher::UpdateEstimates(JobEntry* entry, TimePoint now) {
  const jobs::QueueRules& rules = entry->job.rules;
  const bool is_new = !entry->estimates_learned;
  entry->estimates_valid_until = now + kEstimateInterval;
  if (is_new && !jobs::IsPerpetual(entry->job)) {
    LearnWork(&work_, rules.queue, WorkMs(durations_, entry->job));
  }
  entry->estimates = limits_.order_by_work
                         ? EstimatesOf(durations_, *entry, MeanWork(work_, rules.queue),
                                       RoomOf(rooms_, rules.service, rules.priority))
                         : EstimatesOf(durations_, *entry);
  entry->estimates.remaining_ms += DelayOnSlowWorkers(*entry, now);
  if (is_new) RecordQueueJob(&forecast_, *entry);
  entry->estimates_learned = true;
}

void Dispatcher::CollectTurns(JobEntry* entry, bool underused, const RunCounts& runs, TimePoint now,
                              int64_t wall_ms) {
  if (entry->revision > proven_revision_) return;
  std::vector<PlacementTurn>& turns = placement_.turns;
  if (now >= entry->estimates_valid_until) UpdateEstimates(entry, now);
  turns.push_back(MakeTurn(RankOf(entry->estimates, *entry, wall_ms), entry, turns.size()));
  if (!underused || !IsReconciled(*entry)) return;
  for (const TurnKind it : OwedTurns(*entry, runs, now, wall_ms)) {
    turns.push_back(MakeTurn(OwedRunRank(*entry, it), entry, turns.size()));
  }
}

void Dispatcher::PlaceJob(const PlacementTurn& turn, TimePoint now, int64_t wall_ms,
                          Orders* orders) {
  const JobEntry& entry = *turn.entry;
  const auto has_owed_runs = [&] {
    return IsOwed(turn.kind) && HasOwedRuns(turn.kind, CountRuns(entry, now));
  };
  if (has_owed_runs()) return;
  for (const auto& [k, steps] : entry.open) {
    if (wall_ms < DueMs(entry.job, k)) continue;
    for (int s = 0; s < static_cast<int>(steps.size()); ++s) {
      if (steps[static_cast<size_t>(s)].waiting == 0 || !IsReady(entry, k, s)) continue;
      const size_t runs = entry.runs.size();
      PlaceStep(turn, k, s, now, wall_ms, orders);
      if (entry.runs.size() != runs && has_owed_runs()) return;
    }
  }
}

void Dispatcher::PlaceStep(const PlacementTurn& turn, int occurrence, int step, TimePoint now,
                           int64_t wall_ms, Orders* orders) {
  JobEntry* entry = turn.entry;
  const jobs::Step& what = entry->job.steps[static_cast<size_t>(step)];
  placement_.work += kWorkPerStep;
  if (what.gang) return PlaceGang(entry, occurrence, step, now, wall_ms, orders);
  if (what.best_effort && !IsOwed(turn.kind) && !entry->job.rules.needs_permits) {
    const SpareProcessor& spare = placement_.spare_processors[entry->job.rules.service];
    if (what.request.cpu_milli > spare.most) return RecordWanted(turn, what, now);
  }
  if (IsUnplaceable(placement_.unplaceable, *entry, what, IsOwed(turn.kind))) return;
  jobs::TaskId id{entry->job.id, occurrence, step, 0};
  const StepState* state = StepStateOf(entry, id);
  bool passes_over_failed = false;
  for (id.index = 0; id.index < static_cast<int>(state->tasks.size()); ++id.index) {
    const TaskState& task = state->tasks[static_cast<size_t>(id.index)];
    if (task.progress.done || !task.runs.empty() || IsWithheld(*entry, task)) continue;
    if (!MayStartTask(*entry, id, task)) continue;
    if (IsAtStartLimit()) return;
    const bool has_failed = !task.failed_on.empty();
    if (has_failed && passes_over_failed) continue;
    const bool placed = PlaceTask(turn, id, now, orders);
    if (placed && IsOwed(turn.kind)) return;
    if (placed) continue;
    if (turn.kind == TurnKind::kFirstRun) {
      placement_.spare_processors[entry->job.rules.service].short_of_first_runs = true;
    }
    // If the queue requires permits, the task may have failed for want of a permit, so tasks of
    // other steps may still find a worker.
    if (entry->job.rules.needs_permits) return;
    if (what.best_effort) RecordWanted(turn, what, now);
    // A task that has failed may start on fewer workers than the others of its class.
    passes_over_failed = has_failed && !what.perpetual;
    if (passes_over_failed) continue;
    return RecordUnplaceable(&placement_.unplaceable, *entry, what, IsOwed(turn.kind));
  }
}

void Dispatcher::RecordWanted(const PlacementTurn& turn, const jobs::Step& step, TimePoint now) {
  const std::string& service = turn.entry->job.rules.service;
  bool& wanted = placement_.spare_processors[service].wanted;
  if (wanted || turn.kind != TurnKind::kOnTime) return;
  placement_.work += static_cast<int64_t>(workers_.size());
  wanted = FitsEmptyWorker(workers_, service, step, now);
}

}  // namespace pomelopond::dispatch
