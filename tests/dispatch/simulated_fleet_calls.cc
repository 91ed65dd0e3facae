// The network of a simulated fleet: calls from owners to workers and to the policy service.
#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "tests/dispatch/simulated_fleet.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;

// Longest time that a task of a job with kLongSpec works.
constexpr int64_t kLongestWorkMs = 15000;

// Share and longest delay of answers that wait at their owner.
constexpr double kLateAnswerShare = 0.05;
constexpr int64_t kLatestAnswerMs = 900;

Report NoAnswer() { return WithoutAnswer(OrderStatus::kNoAnswer); }

// The policy allows two of three pairs of step and worker.
bool PolicyAllows(const StepId& step, const std::string& worker) {
  const size_t hash = std::hash<std::string>{}(step.job + std::to_string(step.step) + worker);
  return hash % 3 != 0;
}

template <class T>
bool EraseOne(std::multiset<T>* from, const T& value) {
  const auto it = from->find(value);
  if (it == from->end()) return false;
  from->erase(it);
  return true;
}

// Passes on the first answer only. A call that its sender gave up on has no further answer, as its
// connection is closed.
std::function<void(const Report&)> FirstAnswer(const std::function<void(const Report&)>& finish) {
  const auto answered = std::make_shared<bool>(false);
  return [finish, answered](const Report& report) {
    if (!std::exchange(*answered, true)) finish(report);
  };
}

}  // namespace

bool SimulatedFleet::IsAllowed(const StepId& step, const std::string& worker) {
  return PolicyAllows(step, worker);
}

void SimulatedFleet::Send(SimulatedOwner* owner, const Orders& orders) {
  for (const StartOrder& it : orders.starts) SendStart(owner, it);
  for (const StopOrder& it : orders.stops) {
    owner->orders.emplace(it.to.worker, it.run);
    Call(
        it.to,
        [this, it](SimulatedWorker* worker) {
          return AnswerOf(*worker, StopOn(worker, it, now_), now_);
        },
        [this, it, epoch = owner->epoch](const Report& report) {
          ForOwners([&](SimulatedOwner* owner) {
            if (owner->epoch != epoch) return;
            EraseOne(&owner->orders, {it.to.worker, it.run});
            Learn(owner, it.to.worker, report.answer.incarnation);
            owner->dispatcher.OnStopped(it, report.answer, now_);
            Check(owner);
          });
        });
  }
  for (const PaceOrder& it : orders.paces) {
    owner->orders.emplace(it.to.worker, it.run);
    Call(
        it.to,
        [this, it](SimulatedWorker* worker) -> std::optional<Report> {
          const bool passes = PassesFence(worker, it.epoch);
          return AnswerOf(*worker, passes ? OrderStatus::kAccepted : OrderStatus::kStaleEpoch,
                          now_);
        },
        [this, it, epoch = owner->epoch](const Report& report) {
          ForOwners([&](SimulatedOwner* owner) {
            if (owner->epoch != epoch) return;
            EraseOne(&owner->orders, {it.to.worker, it.run});
            Learn(owner, it.to.worker, report.answer.incarnation);
            owner->dispatcher.OnPaced(it, report.answer, now_);
            Check(owner);
          });
        });
  }
  for (const PermitOrder& it : orders.permits) SendPermits(owner, it);
  for (const HeartbeatOrder& it : orders.heartbeats) SendHeartbeat(owner, it);
}

void SimulatedFleet::SendStart(SimulatedOwner* owner, const StartOrder& order) {
  owner->orders.emplace(order.to.worker, order.run);
  const JobEntry* entry = owner->dispatcher.FindJob(order.run.task.job);
  SimulatedRun run;
  run.step = StepOf(*entry, order.run.task);
  const bool needs_permit = entry->job.rules.needs_permits;
  run.work = run.step.perpetual ? Duration::max() : MsBetween(200, 3000);
  if (order.spec == kLongSpec && !run.step.perpetual) run.work = MsBetween(3000, kLongestWorkMs);
  const Duration late_failure =
      order.spec == kLateFailingSpec ? MsBetween(500, 12000) : Duration::zero();
  const int64_t incarnation = owner->incarnations[order.to.worker];
  const auto execute = [this, order, run, needs_permit, late_failure,
                        incarnation](SimulatedWorker* worker) mutable -> std::optional<Report> {
    if (now_ < worker->unhealthy_until) return AnswerOf(*worker, OrderStatus::kUnhealthy, now_);
    if (needs_permit && (order.permit.empty() || std::stoll(order.permit) < Ms(now_ - kStart))) {
      return AnswerOf(*worker, OrderStatus::kNoPermit, now_);
    }
    run.began = now_;
    run.fails = now_ < worker->poisoned_until || order.spec == kFailingSpec;
    if (run.fails) run.work = milliseconds(100);
    if (order.spec == kLateFailingSpec) {
      run.fails = true;
      run.work = late_failure;
    }
    const bool known = worker->active.count(order.run) > 0;
    const OrderStatus status = StartOn(worker, order, run, now_);
    const bool same_kind = worker->info.incarnation <= incarnation;
    if (status == OrderStatus::kAccepted) started_jobs_.insert(order.run.task.job);
    if (worker->cut_by_start > Duration::zero() && status == OrderStatus::kAccepted && !known) {
      worker->silent_until = now_ + std::exchange(worker->cut_by_start, Duration::zero());
    }
    if (status == OrderStatus::kAccepted && !known) CheckExecution(*worker, order.run, same_kind);
    return AnswerOf(*worker, status, now_);
  };
  const Finish finish = [this, order, epoch = owner->epoch](const Report& report) {
    ForOwners([&](SimulatedOwner* owner) {
      if (owner->epoch != epoch) return;
      EraseOne(&owner->orders, {order.to.worker, order.run});
      Learn(owner, order.to.worker, report.answer.incarnation);
      owner->dispatcher.OnStarted(order, report.answer, now_);
      Check(owner);
    });
  };
  if (has_connections) return StartBefore({order, now_ + kCallTimeout, execute, finish});
  Call(order.to, execute, finish, true);
}

void SimulatedFleet::SendPermits(SimulatedOwner* owner, const PermitOrder& order) {
  PermitAnswer answer;
  answer.ok = !Chance(troubles_.lost_call);
  const TimePoint answered = now_ + MsBetween(20, 200);
  answer.valid = kPermitValidity;
  for (const auto& [id, incarnation] : order.workers) {
    if (!PolicyAllows(order.step, id)) continue;
    answer.granted.emplace_back(id, std::to_string(Ms(answered + kPermitValidity - kStart)));
  }
  if (!answer.ok) answer.granted.clear();
  At(answered, [this, order, answer, epoch = owner->epoch] {
    ForOwners([&](SimulatedOwner* it) {
      if (it->epoch == epoch) it->dispatcher.OnPermits(order, answer, now_);
    });
  });
}

void SimulatedFleet::SendHeartbeat(SimulatedOwner* owner, const HeartbeatOrder& order) {
  owner->heartbeats.insert(order.to.worker);
  const Finish apply = [this, order, epoch = owner->epoch](const Report& report) {
    ForOwners([&](SimulatedOwner* owner) {
      if (owner->epoch != epoch) return;
      EraseOne(&owner->heartbeats, order.to.worker);
      Learn(owner, order.to.worker, report.answer.incarnation);
      owner->dispatcher.OnReport(order, report, now_, WallMs());
      Check(owner);
    });
  };
  // Without connections, the report of a heartbeat that was carried out late comes as well.
  const Finish finish = has_connections ? FirstAnswer(apply) : apply;
  const auto execute = [this, order, finish](SimulatedWorker* worker) -> std::optional<Report> {
    std::vector<EndedRun> forgotten;
    const OrderStatus status = HoldOn(worker, order, now_, &forgotten);
    CheckForgotten(*worker, forgotten);
    if (status != OrderStatus::kAccepted || !worker->ended.empty() ||
        order.wait == Duration::zero()) {
      return ReportOf(*worker, status, now_);
    }
    AwaitEnd(order, worker->info.incarnation, now_ + order.wait, finish);
    return std::nullopt;
  };
  Call(order.to, execute, finish);
}

void SimulatedFleet::AwaitEnd(const HeartbeatOrder& order, int64_t incarnation, TimePoint until,
                              const Finish& finish) {
  SimulatedWorker* worker = WorkerAt(order.to.endpoint);
  const bool here = worker != nullptr && worker->info.incarnation == incarnation;
  if (!here || now_ < worker->silent_until) {
    At(until + kCallTimeout, [finish] { finish(NoAnswer()); });
    return;
  }
  if (worker->ended.empty() && now_ < until) {
    At(now_ + kTick, [=] { AwaitEnd(order, incarnation, until, finish); });
    return;
  }
  SendAnswer(order.to.endpoint, ReportOf(*worker, OrderStatus::kAccepted, now_), finish);
}

// Delivers a call, or loses it or its answer. A lost call may be carried out seconds later.
void SimulatedFleet::Call(const WorkerAddress& to, const Executor& execute, const Finish& finish,
                          bool outlives_restart) {
  if (!Chance(troubles_.lost_call)) {
    At(now_ + MsBetween(1, 15), [=] { Deliver(to, execute, finish); });
    return;
  }
  const SimulatedWorker* target = WorkerAt(to.endpoint);
  At(now_ + kCallTimeout, [finish] { finish(NoAnswer()); });
  if (target == nullptr || Chance(0.4)) return;
  // A late heartbeat does not reach another incarnation: its acknowledgement of ended runs would
  // delete ends there that no owner has seen.
  const int64_t delay = Chance(0.5) ? Between(1, 20) : Between(20, kLatestCallMs);
  At(now_ + milliseconds(delay), [=, incarnation = target->info.incarnation] {
    SimulatedWorker* worker = WorkerAt(to.endpoint);
    if (worker == nullptr || worker->info.id != to.worker || now_ < worker->silent_until) return;
    if (!outlives_restart && worker->info.incarnation != incarnation) return;
    Advance(worker, now_);
    execute(worker);
  });
}

void SimulatedFleet::Deliver(const WorkerAddress& to, const Executor& execute,
                             const Finish& finish) {
  SimulatedWorker* worker = WorkerAt(to.endpoint);
  if (worker == nullptr && Chance(0.5)) {
    return finish({{OrderStatus::kUnreachable, 0, 0}, {}, {}});
  }
  if (worker == nullptr || now_ < worker->silent_until) {
    At(now_ + kCallTimeout, [finish] { finish(NoAnswer()); });
    return;
  }
  Advance(worker, now_);
  std::optional<Report> report;
  if (worker->info.id != to.worker) {
    report = AnswerOf(*worker, OrderStatus::kWrongIncarnation, now_);
  } else {
    report = execute(worker);
  }
  if (!report) return;
  SendAnswer(to.endpoint, *report, finish);
}

// With connections, an answer may reach its owner after the worker has started again, and that of a
// worker that is cut off meanwhile is lost.
void SimulatedFleet::SendAnswer(const Endpoint& from, const Report& report, const Finish& finish) {
  if (has_connections && Chance(kLateAnswerShare)) {
    At(now_ + MsBetween(20, kLatestAnswerMs), [finish, report] { finish(report); });
    return;
  }
  At(now_ + MsBetween(1, 15), [this, from, report, finish] {
    if (!has_connections || !IsCutOff(from)) return finish(report);
    At(now_ + kCallTimeout, [finish] { finish(NoAnswer()); });
  });
}

SimulatedWorker* SimulatedFleet::WorkerAt(const Endpoint& endpoint) {
  const auto it = workers_.find(endpoint);
  return it == workers_.end() ? nullptr : &it->second;
}

}  // namespace pomelopond::dispatch
