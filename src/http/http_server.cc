#include "http/http_server.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "http/internal/listener.h"

namespace pomelopond::http {
namespace {

constexpr Duration kStopPoll = std::chrono::milliseconds(5);
// Closing the listener cuts off a request that arrives at the same moment. Stop() therefore closes
// it only after no request has arrived for this long.
constexpr Duration kStopQuietPeriod = std::chrono::milliseconds(300);

ServerLimits WithMaxBody(int64_t max_body_bytes) {
  ServerLimits limits;
  limits.max_body_bytes = max_body_bytes;
  // A server takes at least the body that it is meant for.
  limits.budget_bytes = std::max(limits.budget_bytes, 4 * max_body_bytes);
  return limits;
}

}  // namespace

struct HttpServer::Impl {
  std::shared_ptr<Listener> listener;
  bool open = false;
};

HttpServer::HttpServer(const Endpoint& endpoint, int64_t max_body_bytes, Handler handler)
    : HttpServer(endpoint, WithMaxBody(max_body_bytes), std::move(handler)) {}

HttpServer::HttpServer(const Endpoint& endpoint, const ServerLimits& limits, Handler handler)
    : impl_(std::make_unique<Impl>()) {
  impl_->listener = std::make_shared<Listener>(endpoint, limits, std::move(handler));
}

HttpServer::~HttpServer() { Stop(Duration::zero()); }

std::error_code HttpServer::Start() {
  if (const std::error_code ec = impl_->listener->Open()) return ec;
  impl_->open = true;
  return {};
}

void HttpServer::SetLimits(const ServerLimits& limits) { impl_->listener->SetLimits(limits); }

ServerUsage HttpServer::Usage() const { return impl_->listener->Usage(); }

int64_t HttpServer::InFlight() const { return impl_->listener->in_flight.load(); }

void HttpServer::BeginStop() { impl_->listener->stopping.store(true); }

int64_t HttpServer::Stop(Duration timeout) {
  if (!impl_->open) return 0;
  BeginStop();
  const TimePoint deadline = Now() + timeout;
  int64_t arrived = impl_->listener->arrived.load();
  TimePoint idle_since = Now();
  for (TimePoint now = Now(); now < deadline; now = Now()) {
    const int64_t n = impl_->listener->arrived.load();
    if (n != arrived || InFlight() > 0) idle_since = now;
    arrived = n;
    if (now - idle_since >= kStopQuietPeriod) break;
    std::this_thread::sleep_for(kStopPoll);
  }
  const int64_t left = InFlight();
  impl_->open = false;
  impl_->listener->Close();
  return left;
}

}  // namespace pomelopond::http
