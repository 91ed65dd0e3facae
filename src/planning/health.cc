#include "planning/health.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

// Returns `base` doubled `times` times, at most `limit`.
Duration ExponentialBackoff(Duration base, int64_t times, Duration limit) {
  Duration wait = base;
  for (int64_t n = 0; n < times && wait < limit; ++n) wait *= 2;
  return std::min(wait, limit);
}

void DropExpired(std::map<std::string, TimePoint>* last_failure, TimePoint now) {
  for (auto it = last_failure->begin(); it != last_failure->end();) {
    it = now - it->second > kFailureWindow ? last_failure->erase(it) : std::next(it);
  }
}

void DropExpired(std::map<std::string, HealthTable::LastFailureByWorker>* entries, TimePoint now) {
  for (auto it = entries->begin(); it != entries->end();) {
    DropExpired(&it->second, now);
    it = it->second.empty() ? entries->erase(it) : std::next(it);
  }
}

void EraseFailure(std::map<std::string, HealthTable::LastFailureByWorker>* entries,
                  const std::string& id, const std::string& worker) {
  const auto it = entries->find(id);
  if (it == entries->end()) return;
  it->second.erase(worker);
  if (it->second.empty()) entries->erase(it);
}

std::string JobIdOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

// Returns the number of workers other than `worker` on which the task or job `id` failed.
size_t CountOtherWorkers(const std::map<std::string, HealthTable::LastFailureByWorker>& entries,
                         const std::string& id, const std::string& worker) {
  const auto it = entries.find(id);
  return it == entries.end() ? 0 : it->second.size() - it->second.count(worker);
}

// Returns the number of tasks that failed on this worker and on no other, and whose job does not
// fail on others either. A job that failed on one other worker still counts, since that worker may
// be faulty as well; two workers in addition to this one show that the job is faulty.
size_t CountWorkerFaults(const HealthTable& table, const std::string& worker) {
  const auto it = table.workers.find(worker);
  if (it == table.workers.end()) return 0;
  size_t count = 0;
  for (const auto& [task, when] : it->second.last_failure) {
    if (CountOtherWorkers(table.tasks, task, worker) > 0) continue;
    if (CountOtherWorkers(table.jobs, JobIdOf(task), worker) + 1 >= kFailureThreshold) continue;
    ++count;
  }
  return count;
}

void Quarantine(HealthTable::Worker* worker, TimePoint now) {
  worker->health = WorkerHealth::kQuarantined;
  worker->quarantine_end =
      now + ExponentialBackoff(kInitialQuarantine, worker->failed_probes, kMaxQuarantine);
  worker->probe.clear();
}

}  // namespace

const char* WorkerHealthName(WorkerHealth health) {
  switch (health) {
    case WorkerHealth::kHealthy:
      return "good";
    case WorkerHealth::kQuarantined:
      return "quarantined";
    case WorkerHealth::kProbing:
      return "probing";
  }
  return "good";
}

void AddFailure(HealthTable* table, const std::string& worker_id, const std::string& task,
                TimePoint now) {
  HealthTable::Worker& worker = table->workers[worker_id];
  worker.last_failure[task] = now;
  table->tasks[task][worker_id] = now;
  table->jobs[JobIdOf(task)][worker_id] = now;
  if (worker.health == WorkerHealth::kProbing && worker.probe == task) {
    worker.probe.clear();
    // A probe that fails on other workers too says nothing about this worker; another probe is
    // tried.
    const bool blamed =
        CountOtherWorkers(table->tasks, task, worker_id) == 0 &&
        CountOtherWorkers(table->jobs, JobIdOf(task), worker_id) + 1 < kFailureThreshold;
    if (blamed) {
      worker.failed_probes += 1;
      Quarantine(&worker, now);
    }
  }
  for (auto& [id, it] : table->workers) {
    const bool bad = CountWorkerFaults(*table, id) >= kFailureThreshold;
    if (it.health == WorkerHealth::kHealthy && bad) Quarantine(&it, now);
    // The failures turned out to be the tasks' fault. A worker with a failed probe stays
    // quarantined, because a failed probe is evidence of its own.
    if (it.health == WorkerHealth::kQuarantined && !bad && it.failed_probes == 0) {
      it.health = WorkerHealth::kHealthy;
    }
  }
}

void AddSuccess(HealthTable* table, const std::string& worker, const std::string& task) {
  const auto it = table->workers.find(worker);
  if (it == table->workers.end()) return;
  if (it->second.health != WorkerHealth::kProbing || it->second.probe != task) return;
  for (const auto& [id, when] : it->second.last_failure) {
    EraseFailure(&table->tasks, id, worker);
    EraseFailure(&table->jobs, JobIdOf(id), worker);
  }
  table->workers.erase(it);
}

void AddGrant(HealthTable* table, const std::string& worker, const std::string& task) {
  const auto it = table->workers.find(worker);
  if (it == table->workers.end() || it->second.health != WorkerHealth::kProbing) return;
  if (it->second.probe.empty()) it->second.probe = task;
}

void AddStop(HealthTable* table, const std::string& worker, const std::string& task) {
  const auto it = table->workers.find(worker);
  if (it == table->workers.end() || it->second.probe != task) return;
  it->second.probe.clear();
}

void Advance(HealthTable* table, TimePoint now) {
  for (auto it = table->workers.begin(); it != table->workers.end();) {
    HealthTable::Worker& worker = it->second;
    if (worker.health == WorkerHealth::kQuarantined && now >= worker.quarantine_end) {
      worker.health = WorkerHealth::kProbing;
    }
    DropExpired(&worker.last_failure, now);
    const bool idle = worker.health == WorkerHealth::kHealthy && worker.last_failure.empty();
    it = idle ? table->workers.erase(it) : std::next(it);
  }
  DropExpired(&table->tasks, now);
  DropExpired(&table->jobs, now);
}

WorkerHealth HealthOf(const HealthTable& table, const std::string& worker) {
  const auto it = table.workers.find(worker);
  return it == table.workers.end() ? WorkerHealth::kHealthy : it->second.health;
}

bool MayGrant(const HealthTable& table, const std::string& worker) {
  const auto it = table.workers.find(worker);
  if (it == table.workers.end() || it->second.health == WorkerHealth::kHealthy) return true;
  return it->second.health == WorkerHealth::kProbing && it->second.probe.empty();
}

bool CountsAgainstTask(const HealthTable& table, const std::string& worker) {
  return HealthOf(table, worker) == WorkerHealth::kHealthy;
}

bool IsBadTask(const HealthTable& table, const std::string& task) {
  const auto it = table.tasks.find(task);
  if (it == table.tasks.end()) return false;
  size_t good = 0;
  for (const auto& [worker, when] : it->second) {
    good += HealthOf(table, worker) == WorkerHealth::kHealthy ? 1 : 0;
  }
  return good >= kFailureThreshold;
}

std::vector<std::string> FailedOn(const HealthTable& table, const std::string& task) {
  std::vector<std::string> workers;
  const auto it = table.tasks.find(task);
  if (it == table.tasks.end()) return workers;
  for (const auto& [worker, when] : it->second) workers.push_back(worker);
  return workers;
}

Duration BackoffOf(const HealthTable& table, const std::string& task, int64_t failures,
                   double jitter) {
  if (!IsBadTask(table, task)) return Duration::zero();
  const int64_t times = std::max<int64_t>(0, failures - static_cast<int64_t>(kFailureThreshold));
  const Duration wait = ExponentialBackoff(kInitialBackoff, times, kMaxBackoff);
  return wait + Duration(static_cast<int64_t>(static_cast<double>(wait.count()) * jitter / 2));
}

}  // namespace pomelopond::planning
