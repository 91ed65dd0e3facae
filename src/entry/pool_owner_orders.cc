// The part of PoolOwner that sends orders to workers.
#include "base/log.h"
#include "entry/pool_owner.h"

namespace pomelopond::entry {
namespace {

// Starts and stops that one turn of the event loop sends. A gang has up to 10,000 of them at once.
constexpr int kOrdersPerTurn = 100;

}  // namespace

void PoolOwner::SendStart(const dispatch::StartOrder& order) {
  metrics_->Count("starts_total");
  Log(LogLevel::kDebug, "owner", "start",
      {{"job", order.run.task.job},
       {"step", order.run.task.step},
       {"index", order.run.task.index},
       {"run", order.run.run},
       {"worker", order.to.worker}});
  worker_calls_->Start(order, BindToGeneration([this, order](const dispatch::Answer& answer) {
                         dispatcher_->OnStarted(order, answer, Now());
                       }));
}

void PoolOwner::SendStop(const dispatch::StopOrder& order) {
  metrics_->Count("stops_total");
  worker_calls_->Stop(order, BindToGeneration([this, order](const dispatch::Answer& answer) {
                        dispatcher_->OnStopped(order, answer, Now());
                      }));
}

void PoolOwner::SendWaitingOrders() {
  int left = kOrdersPerTurn;
  for (; left > 0 && !unsent_stops_.empty(); --left) {
    SendStop(unsent_stops_.front());
    unsent_stops_.pop_front();
  }
  for (; left > 0 && !unsent_starts_.empty(); --left) {
    SendStart(unsent_starts_.front());
    unsent_starts_.pop_front();
  }
  // The next turn sends more.
  if (left == 0) loop_->Post([] {});
}

void PoolOwner::Send(const dispatch::Orders& orders) {
  unsent_stops_.insert(unsent_stops_.end(), orders.stops.begin(), orders.stops.end());
  unsent_starts_.insert(unsent_starts_.end(), orders.starts.begin(), orders.starts.end());
  SendWaitingOrders();
  for (const dispatch::PaceOrder& it : orders.paces) {
    metrics_->Count("paces_total");
    worker_calls_->Pace(it, BindToGeneration([this, it](const dispatch::Answer& answer) {
                          dispatcher_->OnPaced(it, answer, Now());
                        }));
  }
  for (const dispatch::PermitOrder& it : orders.permits) SendPermitOrder(it);
  for (const dispatch::HeartbeatOrder& it : orders.heartbeats) {
    worker_calls_->Heartbeat(it, BindToGeneration([this, it](const dispatch::Report& report) {
                               dispatcher_->OnReport(it, report, Now(), WallClockMs());
                             }));
  }
}

void PoolOwner::SendPermitOrder(const dispatch::PermitOrder& order) {
  const auto on_answer = BindToGeneration([this, order](const dispatch::PermitAnswer& answer) {
    dispatcher_->OnPermits(order, answer, Now());
  });
  if (options_.permits != nullptr) return options_.permits->RequestPermits(order, on_answer);
  Log(LogLevel::kError, "owner", "no_policy_service", {{"job", order.step.job}});
  on_answer(dispatch::PermitAnswer{});
}

}  // namespace pomelopond::entry
