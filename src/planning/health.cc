#include "planning/health.h"

#include <algorithm>

namespace pomelopond::planning {
namespace {

// `base` doubled `times` times, at most `limit`.
Duration Doubled(Duration base, int64_t times, Duration limit) {
  Duration wait = base;
  for (int64_t n = 0; n < times && wait < limit; ++n) wait *= 2;
  return std::min(wait, limit);
}

void DropOld(std::map<std::string, TimePoint>* failed, TimePoint now) {
  for (auto it = failed->begin(); it != failed->end();) {
    it = now - it->second > kEvidenceLife ? failed->erase(it) : std::next(it);
  }
}

void DropOld(std::map<std::string, HealthTable::Failed>* entries, TimePoint now) {
  for (auto it = entries->begin(); it != entries->end();) {
    DropOld(&it->second, now);
    it = it->second.empty() ? entries->erase(it) : std::next(it);
  }
}

void Forget(std::map<std::string, HealthTable::Failed>* entries, const std::string& id,
            const std::string& worker) {
  const auto it = entries->find(id);
  if (it == entries->end()) return;
  it->second.erase(worker);
  if (it->second.empty()) entries->erase(it);
}

std::string JobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

// Workers other than `worker` where the entry failed.
size_t Elsewhere(const std::map<std::string, HealthTable::Failed>& entries, const std::string& id,
                 const std::string& worker) {
  const auto it = entries.find(id);
  return it == entries.end() ? 0 : it->second.size() - it->second.count(worker);
}

// Tasks that failed on the worker and on no other, and whose job does not fail on others either.
// One other worker may be bad as well; two in addition to this one show a bad job.
size_t EvidenceAgainst(const HealthTable& table, const std::string& worker) {
  const auto it = table.workers.find(worker);
  if (it == table.workers.end()) return 0;
  size_t count = 0;
  for (const auto& [task, when] : it->second.failed) {
    if (Elsewhere(table.tasks, task, worker) > 0) continue;
    if (Elsewhere(table.jobs, JobOf(task), worker) + 1 >= kEvidence) continue;
    ++count;
  }
  return count;
}

void Quarantine(HealthTable::Worker* worker, TimePoint now) {
  worker->health = WorkerHealth::kQuarantined;
  worker->rest_end = now + Doubled(kQuarantine, worker->failed_probes, kMaxQuarantine);
  worker->probe.clear();
}

}  // namespace

const char* WorkerHealthName(WorkerHealth health) {
  switch (health) {
    case WorkerHealth::kGood:
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
  worker.failed[task] = now;
  table->tasks[task][worker_id] = now;
  table->jobs[JobOf(task)][worker_id] = now;
  if (worker.health == WorkerHealth::kProbing && worker.probe == task) {
    worker.probe.clear();
    // A probe that fails elsewhere too says nothing about the worker; another one is tried.
    const bool blamed = Elsewhere(table->tasks, task, worker_id) == 0 &&
                        Elsewhere(table->jobs, JobOf(task), worker_id) + 1 < kEvidence;
    if (blamed) {
      worker.failed_probes += 1;
      Quarantine(&worker, now);
    }
  }
  for (auto& [id, it] : table->workers) {
    const bool bad = EvidenceAgainst(*table, id) >= kEvidence;
    if (it.health == WorkerHealth::kGood && bad) Quarantine(&it, now);
    // The evidence turned out to be the tasks' fault. A failed probe is evidence of its own.
    if (it.health == WorkerHealth::kQuarantined && !bad && it.failed_probes == 0) {
      it.health = WorkerHealth::kGood;
    }
  }
}

void AddSuccess(HealthTable* table, const std::string& worker, const std::string& task) {
  const auto it = table->workers.find(worker);
  if (it == table->workers.end()) return;
  if (it->second.health != WorkerHealth::kProbing || it->second.probe != task) return;
  for (const auto& [id, when] : it->second.failed) {
    Forget(&table->tasks, id, worker);
    Forget(&table->jobs, JobOf(id), worker);
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
    if (worker.health == WorkerHealth::kQuarantined && now >= worker.rest_end) {
      worker.health = WorkerHealth::kProbing;
    }
    DropOld(&worker.failed, now);
    const bool idle = worker.health == WorkerHealth::kGood && worker.failed.empty();
    it = idle ? table->workers.erase(it) : std::next(it);
  }
  DropOld(&table->tasks, now);
  DropOld(&table->jobs, now);
}

WorkerHealth HealthOf(const HealthTable& table, const std::string& worker) {
  const auto it = table.workers.find(worker);
  return it == table.workers.end() ? WorkerHealth::kGood : it->second.health;
}

bool MayGrant(const HealthTable& table, const std::string& worker) {
  const auto it = table.workers.find(worker);
  if (it == table.workers.end() || it->second.health == WorkerHealth::kGood) return true;
  return it->second.health == WorkerHealth::kProbing && it->second.probe.empty();
}

bool CountsAgainstTask(const HealthTable& table, const std::string& worker) {
  return HealthOf(table, worker) == WorkerHealth::kGood;
}

bool IsBadTask(const HealthTable& table, const std::string& task) {
  const auto it = table.tasks.find(task);
  if (it == table.tasks.end()) return false;
  size_t good = 0;
  for (const auto& [worker, when] : it->second) {
    good += HealthOf(table, worker) == WorkerHealth::kGood ? 1 : 0;
  }
  return good >= kEvidence;
}

std::vector<std::string> FailedOn(const HealthTable& table, const std::string& task) {
  std::vector<std::string> workers;
  const auto it = table.tasks.find(task);
  if (it == table.tasks.end()) return workers;
  for (const auto& [worker, when] : it->second) workers.push_back(worker);
  return workers;
}

Duration BackoffOf(const HealthTable& table, const std::string& task, int64_t failures,
                   double draw) {
  if (!IsBadTask(table, task)) return Duration::zero();
  const int64_t times = std::max<int64_t>(0, failures - static_cast<int64_t>(kEvidence));
  const Duration wait = Doubled(kBackoff, times, kMaxBackoff);
  return wait + Duration(static_cast<int64_t>(static_cast<double>(wait.count()) * draw / 2));
}

}  // namespace pomelopond::planning
