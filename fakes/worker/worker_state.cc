#include "fakes/worker/worker_state.h"

#include <algorithm>

#include "base/result_code.h"

namespace pomelopond::fakes {
namespace {

using planning::AttemptId;
using planning::ExchangeReply;
using planning::ExchangeRequest;
using planning::ReportState;
using planning::StartOrder;

// A running task takes one checkpoint at each interval. Progress is counted in checkpoints.
constexpr Duration kCheckpointInterval = std::chrono::milliseconds(100);

int64_t Code(ResultCode code) { return static_cast<int64_t>(code); }

// Returns the sequence number of the last checkpoint at `now` of a run that resumed from `from`.
int64_t CheckpointAt(int64_t from, TimePoint started, TimePoint now) {
  return from + (now - started) / kCheckpointInterval;
}

}  // namespace

WorkerState::WorkerState(Resources capacity, uint64_t incarnation, TimePoint start)
    : capacity_(capacity), incarnation_(incarnation), start_(start) {}

Resources WorkerState::used() const {
  Resources sum;
  for (const auto& [task, attempt] : attempts_) {
    if (attempt.state == ReportState::kRunning) sum = sum + attempt.need;
  }
  return sum;
}

void WorkerState::EndAttempt(Attempt* attempt, ReportState state, TimePoint now) {
  attempt->checkpoint = CheckpointAt(attempt->from_checkpoint, attempt->started, now);
  attempt->state = state;
  attempt->change_sequence = ++report_sequence_;
  runs_[attempt->run_index].ended = now;
  runs_[attempt->run_index].state = state;
}

void WorkerState::Restart(uint64_t incarnation, TimePoint now) {
  Advance(now);
  for (auto& [task, attempt] : attempts_) {
    if (attempt.state == ReportState::kRunning) EndAttempt(&attempt, ReportState::kStopped, now);
  }
  attempts_.clear();
  for (auto& [id, shard] : shards_) {
    shard.sequence = 0;
    shard.lease_end = TimePoint{};
  }
  report_sequence_ = 0;
  incarnation_ = incarnation;
  start_ = now;
}

void WorkerState::Advance(TimePoint now) {
  for (auto& [task, attempt] : attempts_) {
    if (attempt.state != ReportState::kRunning) continue;
    const TimePoint lease_end = shards_[attempt.shard].lease_end;
    const Duration remaining = attempt.run_time - attempt.from_checkpoint * kCheckpointInterval;
    const TimePoint finish_time = attempt.run_time == Duration::zero()
                                      ? TimePoint::max()
                                      : attempt.started + std::max(remaining, Duration::zero());
    if (finish_time <= std::min(now, lease_end)) {
      EndAttempt(&attempt, faults.fail_starts ? ReportState::kFailed : ReportState::kFinished,
                 finish_time);
    } else if (lease_end <= now) {
      EndAttempt(&attempt, ReportState::kStopped, lease_end);
    } else if (faults.fail_starts) {
      EndAttempt(&attempt, ReportState::kFailed, now);
    }
  }
}

int64_t WorkerState::StartAttempt(const ExchangeRequest& request, const StartOrder& order,
                                  TimePoint now) {
  const auto it = attempts_.find(order.id.task);
  if (it != attempts_.end()) {
    if (it->second.id.attempt == order.id.attempt) return 0;
    if (it->second.id.attempt > order.id.attempt) return Code(ResultCode::kStaleAttempt);
    if (it->second.state == ReportState::kRunning) return Code(ResultCode::kConflict);
  }
  if (shards_[request.shard].lease_end <= now) return Code(ResultCode::kStaleEpoch);
  if (!Fits(used() + order.need, capacity_)) return Code(ResultCode::kUnschedulable);
  Attempt attempt;
  attempt.shard = request.shard;
  attempt.id = order.id;
  attempt.need = order.need;
  attempt.run_time = order.run_time;
  attempt.started = now;
  attempt.from_checkpoint = order.checkpoint;
  attempt.checkpoint = order.checkpoint;
  attempt.change_sequence = ++report_sequence_;
  attempt.run_index = runs_.size();
  runs_.push_back({order.id, now, TimePoint::max(), order.checkpoint, ReportState::kRunning});
  attempts_[order.id.task] = attempt;
  const Resources sum = used();
  peak_.cpu_milli = std::max(peak_.cpu_milli, sum.cpu_milli);
  peak_.memory_mb = std::max(peak_.memory_mb, sum.memory_mb);
  peak_.accelerators = std::max(peak_.accelerators, sum.accelerators);
  return 0;
}

ExchangeReply WorkerState::Exchange(const ExchangeRequest& request, TimePoint now) {
  Advance(now);
  Shard& shard = shards_[request.shard];
  ExchangeReply reply;
  reply.incarnation = incarnation_;
  reply.worker_clock = now - start_;
  if (request.epoch < shard.epoch ||
      (request.epoch == shard.epoch && request.sequence <= shard.sequence)) {
    reply.code = Code(ResultCode::kStaleEpoch);
    reply.epoch = shard.epoch;
    return reply;
  }
  shard.epoch = request.epoch;
  shard.sequence = request.sequence;
  reply.epoch = shard.epoch;
  const bool known_incarnation = request.incarnation == incarnation_;
  if (known_incarnation && request.worker_clock > Duration::zero()) {
    shard.lease_end = std::max(shard.lease_end, start_ + request.worker_clock + request.lease_ttl);
  }
  for (const AttemptId& it : request.acks) {
    const auto found = attempts_.find(it.task);
    if (found == attempts_.end() || !(found->second.id == it)) continue;
    if (found->second.state != ReportState::kRunning) attempts_.erase(found);
  }
  for (const AttemptId& it : request.stops) {
    const auto found = attempts_.find(it.task);
    if (found == attempts_.end() || !(found->second.id == it)) continue;
    if (found->second.state == ReportState::kRunning) {
      EndAttempt(&found->second, ReportState::kStopped, now);
    }
  }
  for (const StartOrder& it : request.starts) {
    const int64_t code = StartAttempt(request, it, now);
    if (code != 0) reply.refusals.push_back({it.id, code});
  }
  reply.full = request.known == 0 || !known_incarnation;
  for (const auto& [task, attempt] : attempts_) {
    if (attempt.shard != request.shard) continue;
    if (!reply.full && attempt.change_sequence <= request.known) continue;
    reply.reports.push_back({attempt.id, attempt.state, attempt.checkpoint, attempt.need});
  }
  reply.report_sequence = report_sequence_;
  return reply;
}

}  // namespace pomelopond::fakes
