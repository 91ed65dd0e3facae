#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "base/result_code.h"
#include "fakes/worker/worker_state.h"
#include "planning/worker_session.h"

namespace pomelopond::planning {
namespace {

constexpr Duration kTtl = std::chrono::seconds(20);
constexpr Resources kNeed{1000, 100, 0};
constexpr Resources kCapacity{2000, 4096, 0};
constexpr int64_t kTasks = 3;
constexpr int64_t kSteps = 250;
constexpr int64_t kRunsPerCase = 10;
// With slow appends, a start sent while the end of its attempt is being journalled shows in less
// than one of 700 runs.
constexpr int64_t kSlowRunsPerCase = 50;

struct Faults {
  bool restarts = false;      // workers restart and lose everything but the highest epoch seen
  bool slow_appends = false;  // messages are delivered between a decision and its journal record
};

// A clock that starts at any time and runs up to 1% fast or slow, so that two clocks differ by up
// to 2%.
struct Clock {
  TimePoint origin;
  double rate = 1;

  static Clock Any() {
    return {TimePoint(std::chrono::seconds(*rc::gen::inRange(1, 5000))),
            1 + *rc::gen::inRange(-99, 100) * 1e-4};
  }
  TimePoint At(Duration real) const {
    return origin + Duration(static_cast<int64_t>(static_cast<double>(real.count()) * rate));
  }
  Duration RealAt(TimePoint time) const {
    return Duration(static_cast<int64_t>(static_cast<double>((time - origin).count()) / rate));
  }
};

// One run of a task on a host, in real time.
struct Interval {
  int64_t host = 0;
  AttemptId id;
  Duration from{};
  Duration to{};
};

struct Worker {
  Clock clock;
  std::unique_ptr<fakes::WorkerState> state;
};

struct Owner {
  int64_t epoch = 0;
  bool active = false;
  Clock clock;
  ShardState view;
  WorkerSession sessions[2];
  std::vector<AttemptId> acks[2];
  std::vector<AttemptId> stale_attempts[2];
  std::optional<ExchangeReply> replies[2];  // answers that the owner has not handled yet
  // Events that are decided but not journalled yet.
  std::vector<Event> uncommitted;
  std::map<int64_t, int64_t> uncommitted_known;  // report sequence to journal with them, by host
};

struct Message {
  int64_t owner = 0;
  int64_t host = 0;
  ExchangeRequest request;
};

class Simulation {
 public:
  explicit Simulation(Faults faults) : faults_(faults) {
    JobSpec spec;
    spec.id = "job";
    spec.team = "team";
    spec.count = kTasks;
    spec.need = kNeed;
    Apply(&journal_, AcceptEvent(spec));
    for (Worker& it : workers_) {
      it.clock = Clock::Any();
      it.state =
          std::make_unique<fakes::WorkerState>(kCapacity, next_incarnation_++, it.clock.At(now_));
    }
    for (Owner& it : owners_) it.clock = Clock::Any();
    TakeOver(0);
  }

  void Run() {
    for (int64_t n = 0; n < kSteps; ++n) Step();
  }

  // Ends all faults. The last owner must then get every task running.
  void Settle() {
    messages_.clear();
    if (!owners_[1].active) TakeOver(1);
    owners_[0].active = false;
    ProveStopped();
    for (int64_t n = 0; n < 60; ++n) {
      now_ += std::chrono::seconds(1);
      Commit(1);
      Decide(1);
      Commit(1);
      for (int64_t host = 0; host < 2; ++host) {
        Send(1, host);
        Deliver(messages_.back());
        messages_.pop_back();
        Answer(1, host);
        Commit(1);
      }
    }
  }

  void Check() {
    for (int64_t host = 0; host < 2; ++host) Collect(host);
    for (size_t n = 0; n < runs_.size(); ++n) {
      for (size_t other = n + 1; other < runs_.size(); ++other) {
        if (runs_[n].id.task != runs_[other].id.task) continue;
        RC_ASSERT(runs_[n].to <= runs_[other].from || runs_[other].to <= runs_[n].from);
      }
    }
    // Workers refuse tasks that exceed their capacity. The owners' accounting must prevent such
    // starts.
    RC_ASSERT(refused_for_room_ == 0);
    int64_t running = 0;
    for (const auto& [id, task] : owners_[1].view.tasks) {
      running += task.state == TaskState::kRunning ? 1 : 0;
    }
    RC_ASSERT(running == kTasks);
  }

 private:
  static std::string HostId(int64_t host) { return "w" + std::to_string(host); }

  void TakeOver(int64_t n) {
    Owner& owner = owners_[n];
    owner.epoch = ++epoch_;
    owner.active = true;
    owner.view = journal_;
    for (int64_t host = 0; host < 2; ++host) {
      owner.sessions[host].host = HostId(host);
      owner.sessions[host].lease_end =
          n == 0 ? LeaseEnd(owner.clock.At(now_), kTtl) : kUnknownLease;
    }
  }

  // Gives the second owner the proof that the first one has stopped, which bounds the leases that
  // the first owner renewed.
  void ProveStopped() {
    Owner& owner = owners_[1];
    for (WorkerSession& it : owner.sessions) {
      if (it.lease_end == kUnknownLease) it.lease_end = LeaseEnd(owner.clock.At(now_), kTtl);
    }
  }

  void Step() {
    const int64_t n = *rc::gen::inRange(0, 2);
    const int64_t host = *rc::gen::inRange(0, 2);
    switch (*rc::gen::inRange(0, 20)) {
      case 0:
      case 1:
      case 2:
        now_ += std::chrono::milliseconds(*rc::gen::inRange(1, 8000));
        return;
      case 3:
        return Evict(n);
      case 4:
        if (!owners_[1].active && *rc::gen::inRange(0, 5) == 0) TakeOver(1);
        return;
      case 5:
        if (owners_[1].active && *rc::gen::inRange(0, 8) == 0) {
          owners_[0].active = false;
          ProveStopped();
        }
        return;
      case 6:
        if (faults_.restarts && *rc::gen::inRange(0, 4) == 0) Restart(host);
        return;
      case 7:
      case 8:
        return Decide(n);
      case 9:
      case 10:
        return Commit(n);
      case 11:
      case 12:
        return Answer(n, host);
      case 13:
      case 14:
      case 15:
        return Send(n, host);
      default:
        return DeliverAny();
    }
  }

  void Send(int64_t n, int64_t host) {
    Owner& owner = owners_[n];
    if (!owner.active) return;
    owner.replies[host].reset();
    std::set<std::string> ending_tasks;
    for (const Event& it : owner.uncommitted) ending_tasks.insert(it.task);
    ExchangeRequest request = MakeExchange(owner.view, "s", owner.epoch, kTtl, owner.acks[host],
                                           ending_tasks, &owner.sessions[host]);
    for (const AttemptId& it : owner.stale_attempts[host]) request.stops.push_back(it);
    messages_.push_back({n, host, std::move(request)});
  }

  // Most messages arrive in order and once. Others are dropped, or arrive again later.
  void DeliverAny() {
    if (messages_.empty()) return;
    const auto n = *rc::gen::inRange<size_t>(0, messages_.size());
    const int what = *rc::gen::inRange(0, 6);
    const Message message = messages_[n];
    if (what != 0) messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(n));
    if (what != 1) Deliver(message);
  }

  void Deliver(const Message& message) {
    Worker& worker = workers_[message.host];
    const ExchangeReply reply = worker.state->Exchange(message.request, worker.clock.At(now_));
    if (reply.code == 0)
      highest_epoch_[message.host] = std::max(highest_epoch_[message.host], reply.epoch);
    for (const Refusal& it : reply.refusals) {
      if (it.code == static_cast<int64_t>(ResultCode::kUnschedulable)) ++refused_for_room_;
    }
    // The owner ignores answers to all but its last message to a worker.
    Owner& owner = owners_[message.owner];
    if (message.request.sequence != owner.sessions[message.host].sequence) return;
    owner.replies[message.host] = reply;
  }

  void Answer(int64_t n, int64_t host) {
    Owner& owner = owners_[n];
    if (!owner.active || !owner.replies[host]) return;
    const ExchangeReply reply = *owner.replies[host];
    owner.replies[host].reset();
    WorkerSession& session = owner.sessions[host];
    ReplyDecision decision =
        OnReply(owner.view, owner.epoch, reply, kTtl, owner.clock.At(now_), &session);
    if (session.replaced) owner.active = false;
    if (reply.code != 0 || owner.uncommitted_known.count(host) != 0) return;
    owner.acks[host] = decision.acks;
    owner.stale_attempts[host] = decision.stale_attempts;
    owner.uncommitted_known[host] = reply.report_sequence;
    AddUncommitted(&owner, std::move(decision.events));
    if (!faults_.slow_appends) Commit(n);
  }

  static void AddUncommitted(Owner* owner, std::vector<Event> events) {
    for (Event& it : events) owner->uncommitted.push_back(std::move(it));
  }

  void Evict(int64_t n) {
    Owner& owner = owners_[n];
    if (!owner.active || !owner.uncommitted.empty()) return;
    for (const auto& [id, task] : owner.view.tasks) {
      if (task.state != TaskState::kRunning) continue;
      owner.uncommitted.push_back(TaskEvent(EventType::kStop, id, task.attempt));
      break;
    }
    if (!faults_.slow_appends) Commit(n);
  }

  // Decides the ends of leases or, if there are none, a grant for which a host has free capacity by
  // the owner's own accounting.
  void Decide(int64_t n) {
    Owner& owner = owners_[n];
    if (!owner.active || !owner.uncommitted.empty()) return;
    for (const WorkerSession& it : owner.sessions) {
      AddUncommitted(&owner, OnLeaseEnd(owner.view, it, owner.clock.At(now_)));
    }
    if (owner.uncommitted.empty()) Grant(&owner);
    if (!faults_.slow_appends) Commit(n);
  }

  static void Grant(Owner* owner) {
    const auto pending =
        std::find_if(owner->view.tasks.begin(), owner->view.tasks.end(),
                     [](const auto& it) { return it.second.state == TaskState::kPending; });
    if (pending == owner->view.tasks.end()) return;
    const Task& task = pending->second;
    for (const WorkerSession& it : owner->sessions) {
      if (!it.confirmed || !Fits(GrantedOn(owner->view, it.host) + kNeed, kCapacity)) continue;
      Event grant = TaskEvent(EventType::kGrant, task.id, task.attempt + 1);
      grant.host = it.host;
      owner->uncommitted.push_back(grant);
      return;
    }
  }

  // Appends to the journal. The append fails when another owner has taken over.
  void Commit(int64_t n) {
    Owner& owner = owners_[n];
    if (!owner.active) return;
    if (owner.epoch != epoch_ && !owner.uncommitted.empty()) {
      owner.active = false;
      return;
    }
    for (const Event& it : owner.uncommitted) {
      Apply(&owner.view, it);
      Apply(&journal_, it);
    }
    for (const auto& [host, known] : owner.uncommitted_known) owner.sessions[host].known = known;
    owner.uncommitted.clear();
    owner.uncommitted_known.clear();
  }

  void Restart(int64_t host) {
    Collect(host);
    Worker& worker = workers_[host];
    worker.state =
        std::make_unique<fakes::WorkerState>(kCapacity, next_incarnation_++, worker.clock.At(now_));
    // Section 7 requires that workers keep the highest epoch across restarts. The new fake worker
    // does not have it, so the simulation sends it again.
    ExchangeRequest epoch;
    epoch.shard = "s";
    epoch.epoch = highest_epoch_[host];
    if (epoch.epoch > 0) worker.state->Exchange(epoch, worker.clock.At(now_));
  }

  // Collects the records of a worker's runs.
  void Collect(int64_t host) {
    Worker& worker = workers_[host];
    worker.state->Advance(worker.clock.At(now_));
    for (const fakes::RunRecord& it : worker.state->runs()) {
      const Duration to =
          it.ended == TimePoint::max() ? now_ : std::min(now_, worker.clock.RealAt(it.ended));
      runs_.push_back({host, it.id, worker.clock.RealAt(it.started), to});
    }
  }

  const Faults faults_;
  Duration now_{};
  int64_t epoch_ = 0;
  ShardState journal_;
  Worker workers_[2];
  Owner owners_[2];
  std::vector<Message> messages_;
  std::vector<Interval> runs_;
  int64_t highest_epoch_[2] = {};
  uint64_t next_incarnation_ = 1;
  int64_t refused_for_room_ = 0;
};

void CheckWith(Faults faults) {
  EXPECT_TRUE(rc::check([faults] {
    const int64_t runs = faults.slow_appends ? kSlowRunsPerCase : kRunsPerCase;
    for (int64_t n = 0; n < runs; ++n) {
      Simulation simulation(faults);
      simulation.Run();
      simulation.Settle();
      simulation.Check();
    }
  }));
}

// Guards against a task that runs on two hosts, or tasks above a host's capacity, when messages of
// two owners are delayed, dropped and repeated and clock rates differ by up to 2%.
TEST(LeaseInterleavingTest, OnePlaceUnderDelayedMessagesAndTwoOwners) { CheckWith({}); }

// Guards against a renewal whose echoed clock reading is that of an earlier process of the worker.
TEST(LeaseInterleavingTest, OnePlaceUnderWorkerRestarts) { CheckWith({true, false}); }

// Guards against a start that is sent while the end of its attempt is being journalled.
TEST(LeaseInterleavingTest, OnePlaceUnderSlowAppends) { CheckWith({false, true}); }

}  // namespace
}  // namespace pomelopond::planning
