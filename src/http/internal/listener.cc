#include "http/internal/listener.h"

#include <pplx/threadpool.h>

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <utility>

#include "http/internal/connection.h"

namespace pomelopond::http {
namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

constexpr Duration kSweepInterval = std::chrono::milliseconds(500);
// Pause after an accept that failed, for example for want of descriptors.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

boost::asio::io_context& PoolContext() {
  return crossplat::threadpool::shared_instance().service();
}

}  // namespace

struct Listener::Lists {
  boost::intrusive::list<Connection> of[kPhases];
};

Listener::Listener(const Endpoint& endpoint, const ServerLimits& limits, Handler handler)
    : endpoint_(endpoint),
      handler_(std::move(handler)),
      limits_(limits),
      strand_(PoolContext().get_executor()),
      acceptor_(strand_),
      accept_timer_(strand_),
      sweep_timer_(strand_),
      scratch_(kReadBytes),
      lists_(std::make_unique<Lists>()) {}

Listener::~Listener() = default;

std::error_code Listener::Open() {
  Error ec;
  const auto address = boost::asio::ip::make_address(endpoint_.address, ec);
  if (!ec) acceptor_.open(tcp::v4(), ec);
  if (!ec) acceptor_.set_option(Acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind({address, endpoint_.port}, ec);
  if (!ec) acceptor_.listen(boost::asio::socket_base::max_listen_connections, ec);
  if (ec) return ResultCode::kBadEndpoint;
  boost::asio::post(strand_, [self = shared_from_this()] {
    self->is_open_ = true;
    self->Accept();
  });
  return {};
}

void Listener::Close() {
  std::promise<void> closed;
  boost::asio::dispatch(strand_, [this, &closed] {
    is_open_ = false;
    Error ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel(ignored);
    sweep_timer_.cancel(ignored);
    for (auto& list : lists_->of) {
      while (!list.empty()) list.front().Close();
    }
    closed.set_value();
  });
  closed.get_future().wait();
}

void Listener::SetLimits(const ServerLimits& limits) {
  boost::asio::post(strand_, [self = shared_from_this(), limits] { self->limits_ = limits; });
}

ServerUsage Listener::Usage() const {
  ServerUsage out;
  for (size_t n = 0; n < closed_.size(); ++n) out.closed[n] = closed_[n].load();
  out.connections = connections_.load();
  out.budget_used = budget_used_.load();
  return out;
}

void Listener::Add(Connection* it) {
  lists_->of[static_cast<int>(it->state().phase)].push_back(*it);
  connections_ += 1;
  ScheduleSweep();
}

void Listener::Remove(Connection* it) {
  auto& list = lists_->of[static_cast<int>(it->state().phase)];
  list.erase(list.iterator_to(*it));
  connections_ -= 1;
}

void Listener::Requeue(Connection* it, Phase old_phase) {
  auto& from = lists_->of[static_cast<int>(old_phase)];
  auto& to = lists_->of[static_cast<int>(it->state().phase)];
  to.splice(to.end(), from, from.iterator_to(*it));
}

std::vector<ConnectionState> Listener::Oldest(std::vector<Connection*>* connections,
                                              const Connection* except) {
  std::vector<ConnectionState> states;
  for (auto& list : lists_->of) {
    if (list.empty()) continue;
    auto it = list.begin();
    if (&*it == except) ++it;
    if (it == list.end()) continue;
    connections->push_back(&*it);
    states.push_back(it->state());
  }
  return states;
}

bool Listener::MakeRoom(int64_t cost, const Connection* asking, TimePoint now) {
  const int64_t room = RoomFor(cost, limits_) + asking->state().charged - cost;
  while (budget_used_ > room) {
    std::vector<Connection*> connections;
    const auto chosen = ChooseToFreeBytes(Oldest(&connections, asking), now);
    if (!chosen) return false;
    connections[*chosen]->Close(CloseCause::kStalled);
  }
  return true;
}

bool Listener::MakeRoomForConnection(TimePoint now) {
  if (limits_.max_connections <= 0 || connections_ < limits_.max_connections) return true;
  std::vector<Connection*> connections;
  const auto chosen = ChooseToFreeConnection(Oldest(&connections, nullptr), now);
  if (!chosen) return false;
  connections[*chosen]->Close(CloseCause::kReplaced);
  return true;
}

void Listener::Accept() {
  acceptor_.async_accept([self = shared_from_this()](const Error& ec, Socket socket) {
    self->OnAccept(ec, std::move(socket));
  });
}

void Listener::OnAccept(const Error& ec, Socket socket) {
  if (!is_open_) return;
  if (ec) {
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([self = shared_from_this()](const Error&) {
      if (self->is_open_) self->Accept();
    });
    return;
  }
  const TimePoint now = Now();
  if (MakeRoomForConnection(now)) {
    std::make_shared<Connection>(shared_from_this(), std::move(socket))->Start(now);
  } else {
    Count(CloseCause::kNoConnection);
    Error ignored;
    socket.close(ignored);
  }
  Accept();
}

void Listener::ScheduleSweep() {
  if (sweeps_) return;
  sweeps_ = true;
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([self = shared_from_this()](const Error&) {
    self->sweeps_ = false;
    if (!self->is_open_) return;
    self->Sweep(Now());
    if (self->connections_ > 0) self->ScheduleSweep();
  });
}

void Listener::Sweep(TimePoint now) {
  std::vector<std::pair<std::shared_ptr<Connection>, std::optional<CloseCause>>> expired;
  for (auto& list : lists_->of) {
    for (Connection& it : list) {
      const std::optional<Expiry> expiry = ExpiryOf(it.state(), limits_);
      if (expiry && expiry->at <= now) expired.emplace_back(it.shared_from_this(), expiry->cause);
    }
  }
  for (const auto& [it, cause] : expired) it->Expire(cause, now);
}

}  // namespace pomelopond::http
