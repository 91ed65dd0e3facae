// Start orders on connections, as WorkerCalls::Start() requires and platform/worker_api.cc does it.
#include <algorithm>

#include "tests/dispatch/simulated_fleet.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;

// Interval of attempts to send an order while all connections are busy.
constexpr Duration kBusyRetry = milliseconds(5);

OrderConnection* FindConnection(SimulatedOwner* owner, const ConnectionId& id) {
  for (OrderConnection& it : owner->connections[id.endpoint]) {
    if (it.number == id.number) return &it;
  }
  return nullptr;
}

}  // namespace

bool SimulatedFleet::IsCutOff(const Endpoint& endpoint) {
  const SimulatedWorker* worker = WorkerAt(endpoint);
  return worker == nullptr || now_ < worker->silent_until;
}

void SimulatedFleet::StartBefore(const StartCall& call) {
  SimulatedOwner* owner = OwnerOf(call.order.epoch);
  if (owner == nullptr) return;
  if (now_ >= call.deadline) return call.finish(WithoutAnswer(OrderStatus::kUnreachable));
  const Endpoint& endpoint = call.order.to.endpoint;
  CloseEnded(owner, endpoint);
  std::vector<OrderConnection>& open = owner->connections[endpoint];
  OrderConnection* it = FindIdle(&open, call.order.incarnation);
  if (it == nullptr && open.size() < kMaxOrderConnections) return Connect(owner, call);
  if (it == nullptr) {
    At(now_ + kBusyRetry, [this, call] { StartBefore(call); });
    return;
  }
  it->busy = true;
  const ConnectionId id{owner->epoch, endpoint, it->number};
  if (it->named_incarnation != call.order.incarnation) return RequestReport(call, id, *it);
  SendStartOn(call, id, *it);
}

// Closes idle connections whose processes are gone, if the owner has noticed.
void SimulatedFleet::CloseEnded(SimulatedOwner* owner, const Endpoint& endpoint) {
  const SimulatedWorker* worker = WorkerAt(endpoint);
  std::vector<OrderConnection>& open = owner->connections[endpoint];
  const auto end = std::remove_if(open.begin(), open.end(), [&](const OrderConnection& it) {
    const bool ended = worker == nullptr || worker->info.incarnation != it.incarnation;
    return !it.busy && ended && Chance(0.5);
  });
  open.erase(end, open.end());
}

void SimulatedFleet::Connect(SimulatedOwner* owner, const StartCall& call) {
  const Endpoint& endpoint = call.order.to.endpoint;
  const ConnectionId id{owner->epoch, endpoint, ++last_connection_};
  OrderConnection connection;
  connection.number = id.number;
  owner->connections[endpoint].push_back(connection);
  const auto fail = [this, call, id](TimePoint time) {
    At(time, [this, call, id] {
      CloseConnection(id);
      call.finish(WithoutAnswer(OrderStatus::kUnreachable));
    });
  };
  At(now_ + MsBetween(1, 15), [this, call, id, fail] {
    const SimulatedWorker* worker = WorkerAt(id.endpoint);
    if (worker == nullptr && Chance(0.5)) return fail(now_);
    if (IsCutOff(id.endpoint)) return fail(call.deadline);
    At(now_ + MsBetween(1, 15), [this, call, id, fail, incarnation = worker->info.incarnation] {
      if (IsCutOff(id.endpoint)) return fail(call.deadline);
      SimulatedOwner* owner = OwnerOf(id.epoch);
      if (owner == nullptr) return;
      OrderConnection* it = FindConnection(owner, id);
      it->incarnation = incarnation;
      RequestReport(call, id, *it);
    });
  });
}

void SimulatedFleet::CloseConnection(const ConnectionId& id) {
  SimulatedOwner* owner = OwnerOf(id.epoch);
  if (owner != nullptr) Close(&owner->connections[id.endpoint], id.number);
}

// Asks for a report, which neither acknowledges nor extends anything. If that names the incarnation
// of the start, the start follows on the same connection.
void SimulatedFleet::RequestReport(const StartCall& call, const ConnectionId& id,
                                   const OrderConnection& connection) {
  HeartbeatOrder request;
  request.to = call.order.to;
  request.epoch = call.order.epoch;
  const auto execute = [this, request](SimulatedWorker* worker) -> std::optional<Report> {
    return ReportOf(*worker, HoldOn(worker, request, now_), now_);
  };
  const auto finish = [this, call, id](const Report& report) {
    const bool names_it = report.answer.status == OrderStatus::kAccepted &&
                          report.answer.incarnation == call.order.incarnation;
    if (!names_it) return call.finish(AnswerWithoutStart(report));
    OrderConnection* it = FindConnection(OwnerOf(id.epoch), id);
    it->named_incarnation = call.order.incarnation;
    it->busy = true;
    StartCall start = call;
    start.deadline = now_ + kCallTimeout;
    SendStartOn(start, id, *it);
  };
  SendOn({id, call.order.to, connection.incarnation, call.deadline, execute, finish});
}

void SimulatedFleet::SendStartOn(const StartCall& call, const ConnectionId& id,
                                 const OrderConnection& connection) {
  const auto execute = [this, call](SimulatedWorker* worker) {
    if (worker->info.incarnation != call.order.incarnation) {
      Violation("start on another incarnation: " + Text(call.order.run) + " on " + worker->info.id);
    }
    return call.execute(worker);
  };
  const auto finish = [call](Report report) {
    const bool is_own = report.answer.status != OrderStatus::kWrongIncarnation;
    if (is_own && report.answer.incarnation == 0) {
      report.answer.incarnation = call.order.incarnation;
    }
    call.finish(report);
  };
  SendOn({id, call.order.to, connection.incarnation, call.deadline, execute, finish});
}

// Delivers a call, or loses it or its answer. It is carried out by the process at the other end of
// its connection or by none, maybe after its sender gave up on it.
void SimulatedFleet::SendOn(const ConnectionCall& call) {
  if (Chance(troubles_.lost_call)) {
    EndUnanswered(call, call.deadline);
    if (Chance(0.4)) return;
    const int64_t delay = Chance(0.5) ? Between(1, 20) : Between(20, kLatestCallMs);
    At(now_ + milliseconds(delay), [this, call] { Execute(call); });
    return;
  }
  At(now_ + MsBetween(1, 15), [this, call] {
    const std::optional<Report> report = Execute(call);
    if (!report) {
      // The next process resets a connection that it does not know.
      const bool is_reset = !IsCutOff(call.id.endpoint);
      return EndUnanswered(call, is_reset ? now_ + MsBetween(1, 15) : call.deadline);
    }
    At(now_ + MsBetween(1, 15), [this, call, report] {
      if (IsCutOff(call.id.endpoint)) return EndUnanswered(call, call.deadline);
      SimulatedOwner* owner = OwnerOf(call.id.epoch);
      if (owner == nullptr) return;
      FindConnection(owner, call.id)->busy = false;
      call.finish(*report);
    });
  });
}

std::optional<Report> SimulatedFleet::Execute(const ConnectionCall& call) {
  SimulatedWorker* worker = WorkerAt(call.id.endpoint);
  if (IsCutOff(call.id.endpoint) || worker->info.incarnation != call.incarnation) {
    return std::nullopt;
  }
  Advance(worker, now_);
  if (worker->info.id != call.to.worker) {
    return AnswerOf(*worker, OrderStatus::kWrongIncarnation, now_);
  }
  return call.execute(worker);
}

void SimulatedFleet::EndUnanswered(const ConnectionCall& call, TimePoint time) {
  At(std::max(now_, time), [this, call] {
    CloseConnection(call.id);
    call.finish(WithoutAnswer(OrderStatus::kNoAnswer));
  });
}

}  // namespace pomelopond::dispatch
