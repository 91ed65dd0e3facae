// The part of ShardRunner that queues requests of callers and releases, and describes the shard.
#include "apps/scheduler/shard_runner.h"
#include "base/log.h"
#include "base/result_code.h"
#include "planning/release_jobs.h"

namespace pomelopond::apps {

void ShardRunner::Accept(planning::JobSpec spec, const OutcomeCallback& callback) {
  std::error_code ec;
  bool done = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = state_.jobs.find(spec.id);
    if (it != state_.jobs.end()) {
      done = true;
      if (it->second != spec) ec = ResultCode::kConflict;
    } else if (unresolved_jobs_.count(spec.id) != 0) {
      // The caller must not be told that the job was not accepted: the earlier call with this id
      // may still take effect.
      done = true;
      ec = ResultCode::kOutcomeUnknown;
    } else if (!IsActive()) {
      done = true;
      ec = ResultCode::kNotOwner;
    } else if (!store_availability_->IsAvailable()) {
      done = true;
      ec = ResultCode::kStoreUnavailable;
    } else if (!workers_.empty() && !planning::CanEverRun(spec, PlacementHosts())) {
      done = true;
      ec = ResultCode::kUnschedulable;
    } else {
      requests_.push_back({planning::AcceptEvent(std::move(spec)), callback});
    }
  }
  changed_.notify_all();
  if (done) callback(ec);
}

void ShardRunner::Cancel(const std::string& job, const OutcomeCallback& callback) {
  std::error_code ec;
  bool done = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.jobs.count(job) == 0) {
      done = true;
      ec = unresolved_jobs_.count(job) != 0 ? ResultCode::kOutcomeUnknown : ResultCode::kNotFound;
    } else if (!IsActive()) {
      done = true;
      ec = ResultCode::kNotOwner;
    } else if (!store_availability_->IsAvailable()) {
      done = true;
      ec = ResultCode::kStoreUnavailable;
    } else {
      requests_.push_back({planning::CancelEvent(job), callback});
    }
  }
  changed_.notify_all();
  if (done) callback(ec);
}

void ShardRunner::ApplyRelease(const std::vector<planning::JobSpec>& wanted, int64_t version) {
  planning::ReleaseJobChanges changes;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    changes = planning::CompareWithRelease(state_, wanted, version);
  }
  const auto log = [this](const char* event, const std::string& job) {
    return [shard = shard_, event, job](std::error_code ec) {
      Log(ec ? LogLevel::kWarn : LogLevel::kInfo, "release", event,
          {{"shard", shard}, {"job", job}, {"result", ec.message()}});
    };
  };
  for (planning::JobSpec& it : changes.accept) {
    const std::string job = it.id;
    Accept(std::move(it), log("job_added", job));
  }
  for (const std::string& it : changes.cancel) Cancel(it, log("job_withdrawn", it));
}

Json ShardRunner::Describe(const std::string& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto spec = state_.jobs.find(job);
  if (spec == state_.jobs.end()) return nullptr;
  Json tasks = Json::array();
  for (int64_t n = 0; n < spec->second.count; ++n) {
    const planning::Task& task = state_.tasks.at(planning::TaskId(job, n));
    tasks.push_back({{"id", task.id},
                     {"state", planning::TaskStateName(task.state)},
                     {"host", task.host},
                     {"attempt", task.attempt},
                     {"checkpoint", task.checkpoint}});
  }
  return {{"job", planning::ToJson(spec->second)},
          {"shard", shard_},
          {"confirmed_ms", Milliseconds(Now() - ownership_confirmed_)},
          {"tasks", tasks},
          {"waits", planning::WaitReasonName(planning::WaitReasonOf(planner_, job))}};
}

Json ShardRunner::Summary() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, int64_t> states;
  for (const auto& [id, task] : state_.tasks) states[planning::TaskStateName(task.state)] += 1;
  int64_t confirmed = 0;
  Json unhealthy = Json::object();
  for (const auto& [id, worker] : workers_) {
    confirmed += worker.session.confirmed ? 1 : 0;
    const planning::WorkerHealth health = planning::HealthOf(health_, id);
    if (health == planning::WorkerHealth::kHealthy) continue;
    unhealthy[id] = planning::WorkerHealthName(health);
  }
  return {{"shard", shard_},
          {"epoch", epoch_},
          {"confirmed_ms", Milliseconds(Now() - ownership_confirmed_)},
          {"jobs", state_.jobs.size()},
          {"tasks", states},
          {"hosts", workers_.size()},
          {"hosts_confirmed", confirmed},
          {"hosts_unhealthy", unhealthy},
          {"store_ok", store_ok_}};
}

}  // namespace pomelopond::apps
