#include "planning/worker_session.h"

#include <map>

#include "base/result_code.h"

namespace pomelopond::planning {
namespace {

std::vector<Event> OnReport(const Task& task, const TaskReport& report) {
  std::vector<Event> events;
  const auto add = [&](EventType type) {
    Event event = TaskEvent(type, task.id, report.id.attempt);
    event.checkpoint = report.checkpoint;
    events.push_back(std::move(event));
  };
  switch (report.state) {
    case ReportState::kRunning:
      if (task.state == TaskState::kGranted) add(EventType::kRunning);
      break;
    case ReportState::kStopped:
      add(EventType::kStopped);
      break;
    case ReportState::kFinished:
      add(EventType::kFinished);
      break;
    case ReportState::kFailed:
      add(EventType::kFailed);
      break;
  }
  return events;
}

bool IsCurrent(const ShardState& state, const std::string& host, const AttemptId& id) {
  const auto it = state.tasks.find(id.task);
  return it != state.tasks.end() && it->second.attempt == id.attempt &&
         OccupiesHost(it->second.state) && it->second.host == host;
}

}  // namespace

TimePoint LeaseEnd(TimePoint clock_received, Duration ttl) {
  const auto margin =
      Duration(static_cast<int64_t>(static_cast<double>(ttl.count()) * kMaxClockDrift));
  return clock_received + ttl + margin + kWorkerStopSlack;
}

ExchangeRequest MakeExchange(const ShardState& state, const std::string& shard, int64_t epoch,
                             Duration lease_ttl, const std::vector<AttemptId>& acks,
                             const std::set<std::string>& ending_tasks, WorkerSession* session) {
  ExchangeRequest request;
  request.shard = shard;
  request.epoch = epoch;
  request.sequence = ++session->sequence;
  request.known = session->known;
  request.acks = acks;
  if (!session->confirmed) return request;
  request.incarnation = session->incarnation;
  request.worker_clock = session->worker_clock;
  request.lease_ttl = lease_ttl;
  session->lease_end = std::max(session->lease_end, LeaseEnd(session->clock_received, lease_ttl));
  const auto tasks = state.tasks_by_host.find(session->host);
  if (tasks == state.tasks_by_host.end()) return request;
  for (const std::string& it : tasks->second) {
    const Task& task = state.tasks.at(it);
    if (task.state == TaskState::kStopping) request.stops.push_back({task.id, task.attempt});
    if (task.state != TaskState::kGranted || ending_tasks.count(task.id) != 0) continue;
    const JobSpec& spec = state.jobs.at(task.job);
    request.starts.push_back({{task.id, task.attempt}, spec.need, spec.run_time, task.checkpoint});
  }
  return request;
}

ReplyDecision OnReply(const ShardState& state, int64_t epoch, const ExchangeReply& reply,
                      Duration lease_ttl, TimePoint now, WorkerSession* session) {
  ReplyDecision decision;
  if (reply.epoch > epoch) session->replaced = true;
  if (reply.code != 0 || reply.epoch != epoch) return decision;
  // From its first answer in this epoch on, the worker refuses messages of the previous owner. A
  // lease that the worker holds therefore ends at most one ttl after the clock reading in this
  // answer.
  if (!session->confirmed) session->lease_end = LeaseEnd(now, lease_ttl);
  session->confirmed = true;
  session->worker_clock = reply.worker_clock;
  session->clock_received = now;
  // A restarted worker numbers its reports from the beginning.
  if (session->incarnation != reply.incarnation) session->known = 0;
  session->incarnation = reply.incarnation;
  std::map<std::string, AttemptId> reported;
  for (const TaskReport& it : reply.reports) {
    reported[it.id.task] = it.id;
    if (IsCurrent(state, session->host, it.id)) {
      for (Event& event : OnReport(state.tasks.at(it.id.task), it)) {
        decision.events.push_back(std::move(event));
      }
      continue;
    }
    (it.state == ReportState::kRunning ? decision.stale_attempts : decision.acks).push_back(it.id);
  }
  if (!reply.full) return decision;
  // If a full report lacks an attempt that was reported running before, the worker lost it, for
  // example by a restart. Attempts that were granted but never reported may not have reached the
  // worker yet.
  const auto tasks = state.tasks_by_host.find(session->host);
  if (tasks == state.tasks_by_host.end()) return decision;
  for (const std::string& it : tasks->second) {
    const Task& task = state.tasks.at(it);
    if (task.state == TaskState::kGranted) continue;
    const auto found = reported.find(it);
    if (found != reported.end() && found->second.attempt == task.attempt) continue;
    Event event = TaskEvent(EventType::kStopped, task.id, task.attempt);
    event.checkpoint = task.checkpoint;
    decision.events.push_back(std::move(event));
  }
  return decision;
}

std::vector<Event> OnLeaseEnd(const ShardState& state, const WorkerSession& session,
                              TimePoint now) {
  std::vector<Event> events;
  if (now <= session.lease_end) return events;
  const auto tasks = state.tasks_by_host.find(session.host);
  if (tasks == state.tasks_by_host.end()) return events;
  for (const std::string& it : tasks->second) {
    const Task& task = state.tasks.at(it);
    Event event = TaskEvent(EventType::kStopped, task.id, task.attempt);
    event.checkpoint = task.checkpoint;
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace pomelopond::planning
