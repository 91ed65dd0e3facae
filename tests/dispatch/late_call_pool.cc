#include "tests/dispatch/late_call_pool.h"

#include <algorithm>
#include <utility>

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(10);
constexpr int kShortestCallMs = 4;  // of an order, and of its answer
constexpr int kLongestCallMs = 9;
constexpr int kShortestReportMs = 60;  // from the end of a run to the owner
constexpr int kLongestReportMs = 120;
constexpr Duration kCallTimeout = seconds(1);
constexpr int kShortestLatenessMs = 2000;
constexpr int kLongestLatenessMs = 12000;
constexpr Duration kEndless = std::chrono::hours(24);

}  // namespace

LateCallPool::LateCallPool(const std::vector<WorkerInfo>& infos, DispatchLimits limits)
    : it_(1, limits) {
  for (const WorkerInfo& info : infos) {
    SimulatedWorker& worker = workers_[info.id];
    worker.info = info;
    worker.booted = it_.now;
    it_.dispatcher.UpdateWorker(info, it_.now);
  }
  Run(seconds(1));
}

void LateCallPool::SetTaskTimes(int shortest_ms, int longest_ms) {
  shortest_ms_ = shortest_ms;
  longest_ms_ = longest_ms;
}

void LateCallPool::EndTask(const jobs::TaskId& task) {
  for (auto& [id, worker] : workers_) {
    const auto run = std::find_if(worker.active.begin(), worker.active.end(),
                                  [&task](const auto& it) { return it.first.task == task; });
    if (run != worker.active.end())
      return EndRun(&worker, RunId(run->first), EndKind::kDone, it_.now);
  }
}

void LateCallPool::Run(Duration duration) {
  for (Duration passed{}; passed < duration; passed += kTick) Tick();
}

std::set<jobs::TaskId> LateCallPool::RunningTasks() const {
  std::set<jobs::TaskId> tasks;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [run, state] : worker.active) tasks.insert(run.task);
  }
  return tasks;
}

std::set<std::string> LateCallPool::RunningJobs() const {
  std::set<std::string> jobs;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [run, state] : worker.active) jobs.insert(run.task.job);
  }
  return jobs;
}

std::string LateCallPool::WorkerOf(const jobs::TaskId& task) const {
  for (const auto& [id, worker] : workers_) {
    for (const auto& [run, state] : worker.active) {
      if (run.task == task) return id;
    }
  }
  return "";
}

void LateCallPool::After(Duration delay, std::function<void()> event) {
  events_.emplace(it_.now + delay, std::move(event));
}

bool LateCallPool::IsLate(const std::string& worker, bool is_start) {
  const auto starts = late_starts_.find(worker);
  const bool late_start = is_start && starts != late_starts_.end();
  const double share = late_start ? std::max(late_share_, starts->second) : late_share_;
  return std::uniform_real_distribution<>(0, 1)(random_) < share;
}

void LateCallPool::Call(const WorkerAddress& to, bool is_start,
                        const std::function<Answer(SimulatedWorker*)>& execute,
                        const std::function<void(const Answer&)>& finish) {
  if (IsLate(to.worker, is_start)) {
    After(milliseconds(Between(kShortestLatenessMs, kLongestLatenessMs)),
          [this, to, execute] { execute(&workers_.at(to.worker)); });
    return After(kCallTimeout, [finish] { finish({OrderStatus::kNoAnswer, 0, 0}); });
  }
  After(milliseconds(Between(kShortestCallMs, kLongestCallMs)), [this, to, execute, finish] {
    const Answer answer = execute(&workers_.at(to.worker));
    After(milliseconds(Between(kShortestCallMs, kLongestCallMs)),
          [finish, answer] { finish(answer); });
  });
}

void LateCallPool::SendHeartbeat(const HeartbeatOrder& order) {
  if (IsLate(order.to.worker, false)) {
    After(milliseconds(Between(kShortestLatenessMs, kLongestLatenessMs)),
          [this, order] { HoldOn(&workers_.at(order.to.worker), order, it_.now); });
    const Report lost{{OrderStatus::kNoAnswer, 0, 0}, {}, {}, false};
    return After(order.wait + kCallTimeout, [this, order, lost] {
      it_.dispatcher.OnReport(order, lost, it_.now, it_.WallMs());
    });
  }
  After(milliseconds(Between(kShortestCallMs, kLongestCallMs)),
        [this, order] { TakeHeartbeat(order); });
}

void LateCallPool::TakeHeartbeat(const HeartbeatOrder& order) {
  SimulatedWorker* worker = &workers_.at(order.to.worker);
  Advance(worker, it_.now);
  HoldOn(worker, order, it_.now);
  held_.push_back({order, it_.now + order.wait});
}

void LateCallPool::AnswerHeldHeartbeats() {
  std::vector<HeldHeartbeat> held;
  for (const HeldHeartbeat& it : std::exchange(held_, {})) {
    const SimulatedWorker& worker = workers_.at(it.order.to.worker);
    if (worker.ended.empty() && it_.now < it.until) {
      held.push_back(it);
      continue;
    }
    const Report report = ReportOf(worker, OrderStatus::kAccepted, it_.now);
    After(milliseconds(Between(kShortestReportMs, kLongestReportMs)),
          [this, it, report] { it_.dispatcher.OnReport(it.order, report, it_.now, it_.WallMs()); });
  }
  held_.insert(held_.end(), held.begin(), held.end());
}

void LateCallPool::Send(const Orders& orders) {
  for (const StartOrder& order : orders.starts) {
    SimulatedRun run;
    run.step = StepOf(*it_.dispatcher.FindJob(order.run.task.job), order.run.task);
    run.work = run.step.best_effort ? milliseconds(Between(shortest_ms_, longest_ms_)) : kEndless;
    Call(
        order.to, true,
        [this, order, run](SimulatedWorker* worker) {
          SimulatedRun begun = run;
          begun.began = it_.now;
          Advance(worker, it_.now);
          return AnswerOf(*worker, StartOn(worker, order, begun, it_.now), it_.now).answer;
        },
        [this, order](const Answer& answer) { it_.dispatcher.OnStarted(order, answer, it_.now); });
  }
  for (const StopOrder& order : orders.stops) {
    Call(
        order.to, false,
        [this, order](SimulatedWorker* worker) {
          Advance(worker, it_.now);
          return AnswerOf(*worker, StopOn(worker, order, it_.now), it_.now).answer;
        },
        [this, order](const Answer& answer) { it_.dispatcher.OnStopped(order, answer, it_.now); });
  }
  for (const PaceOrder& order : orders.paces) {
    Call(
        order.to, false,
        [this](SimulatedWorker* worker) {
          return AnswerOf(*worker, OrderStatus::kAccepted, it_.now).answer;
        },
        [this, order](const Answer& answer) { it_.dispatcher.OnPaced(order, answer, it_.now); });
  }
  for (const HeartbeatOrder& order : orders.heartbeats) SendHeartbeat(order);
}

void LateCallPool::Tick() {
  it_.Advance(kTick);
  while (!events_.empty() && events_.begin()->first <= it_.now) {
    events_.extract(events_.begin()).mapped()();
  }
  for (auto& [id, worker] : workers_) Advance(&worker, it_.now);
  AnswerHeldHeartbeats();
  it_.CommitAll();
  it_.Decide();
  Send(it_.orders);
}

}  // namespace pomelopond::dispatch
