#include "http/internal/connection.h"

#include <strings.h>

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace pomelopond::http {
namespace {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

// Most requests fit in one read. What follows a request waits in memory until it is answered.
constexpr size_t kHeadReadBytes = 4096;
// Bytes of a refused body that are read and discarded. A peer that reads nothing before it has sent
// its body, as most HTTP clients do, would lose the response if the connection were reset earlier.
constexpr size_t kMaxDiscardedBytes = size_t{4} * 1024 * 1024;
constexpr const char* kRetryAfterSeconds = "1";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

bool IsWouldBlock(const Error& ec) {
  return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

CloseCause CauseOf(ResultCode code) {
  switch (code) {
    case ResultCode::kHeaderTooLarge:
      return CloseCause::kHeaderTooLarge;
    case ResultCode::kTooLarge:
      return CloseCause::kBodyTooLarge;
    case ResultCode::kLengthRequired:
      return CloseCause::kLengthRequired;
    case ResultCode::kServerBusy:
      return CloseCause::kBudgetFull;
    default:
      return CloseCause::kBadRequest;
  }
}

std::string TextOf(ResultCode code, const ServerLimits& limits) {
  switch (code) {
    case ResultCode::kHeaderTooLarge:
      return "the limit is " + std::to_string(limits.max_header_bytes) + " bytes in " +
             std::to_string(limits.max_header_fields) + " fields";
    case ResultCode::kTooLarge:
    case ResultCode::kLengthRequired:
      return "the limit is " + std::to_string(MaxBodyBytes(limits)) +
             " bytes, sent with Content-Length";
    case ResultCode::kServerBusy:
      return "other requests take all the memory for requests";
    default:
      return "malformed header or HTTP version";
  }
}

// Lets the handler respond from any thread, also after the connection or the server has ended. The
// first response counts.
struct Exchange {
  std::weak_ptr<Listener> listener;
  std::weak_ptr<Connection> connection;
  std::atomic<bool> answered{false};
};

Reply MakeReply(const std::shared_ptr<Listener>& listener,
                const std::shared_ptr<Connection>& connection) {
  const auto exchange = std::make_shared<Exchange>();
  exchange->listener = listener;
  exchange->connection = connection;
  return [exchange](HttpResponse response) {
    const std::shared_ptr<Listener> all = exchange->listener.lock();
    if (exchange->answered.exchange(true) || all == nullptr) return;
    boost::asio::dispatch(all->strand(), [exchange, response = std::move(response)] {
      if (const auto it = exchange->connection.lock()) {
        return it->Respond(response, Now());
      }
      if (const auto it = exchange->listener.lock()) it->in_flight.fetch_sub(1);
    });
  };
}

}  // namespace

Connection::Connection(std::shared_ptr<Listener> listener, Socket socket)
    : listener_(std::move(listener)), socket_(std::move(socket)) {}

void Connection::Start(TimePoint now) {
  Error ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  self_ = shared_from_this();
  state_.since = now;
  state_.progress_at = now;
  listener_->Add(this);
  WaitForBytes();
}

void Connection::Close() {
  if (!self_) return;
  const std::shared_ptr<Connection> guard = std::move(self_);
  self_.reset();
  // The response to a request that the handler has is counted when it comes.
  if (in_flight_ && state_.phase != Phase::kHandling) listener_->in_flight.fetch_sub(1);
  in_flight_ = false;
  SetCharge(0);
  listener_->Remove(this);
  Error ignored;
  socket_.close(ignored);
}

void Connection::Close(CloseCause cause) {
  listener_->Count(cause);
  Close();
}

void Connection::Expire(const std::optional<CloseCause>& cause, TimePoint now) {
  const bool has_begun = state_.phase == Phase::kHeader || state_.phase == Phase::kBody;
  if (has_begun) {
    return Refuse(ResultCode::kRequestTimeout, "the request is not complete in time", *cause, now);
  }
  if (cause) return Close(*cause);
  Close();
}

void Connection::SetPhase(Phase phase, TimePoint now) {
  const Phase old = std::exchange(state_.phase, phase);
  state_.since = now;
  state_.progress_at = now;
  listener_->Requeue(this, old);
}

void Connection::NoteProgress(TimePoint now) {
  state_.progress_at = now;
  listener_->Requeue(this, state_.phase);
}

void Connection::SetCharge(int64_t bytes) {
  listener_->Charge(bytes - state_.charged);
  state_.charged = bytes;
}

void Connection::WaitForBytes() {
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const Error& ec) {
    if (!self->self_) return;
    if (ec) return self->Close();
    self->ReadAvailable(Now());
  });
}

void Connection::ReadAvailable(TimePoint now) {
  const size_t wanted = state_.phase == Phase::kBody        ? remaining_body_
                        : state_.phase == Phase::kLingering ? Listener::kReadBytes
                                                            : kHeadReadBytes;
  const size_t most = std::min(wanted, Listener::kReadBytes);
  Error ec;
  const size_t n = socket_.read_some(boost::asio::buffer(listener_->scratch(), most), ec);
  if (IsWouldBlock(ec)) return WaitForBytes();
  if (ec || n == 0) return Close();
  Consume(std::string_view(listener_->scratch(), n), now);
}

void Connection::Consume(std::string_view bytes, TimePoint now) {
  if (state_.phase == Phase::kBody) return ConsumeBody(bytes, now);
  if (state_.phase != Phase::kLingering) return ConsumeHead(bytes, now);
  discarded_ += bytes.size();
  if (discarded_ > kMaxDiscardedBytes) return Close();
  WaitForBytes();
}

void Connection::ConsumeHead(std::string_view bytes, TimePoint now) {
  std::string joined = std::move(unread_);
  unread_ = std::string();
  if (!joined.empty()) bytes = joined.append(bytes);
  // A peer may send an empty line after a request.
  while (bytes.substr(0, 2) == "\r\n") bytes.remove_prefix(2);
  const size_t end = FindHeadEnd(bytes, std::min(std::exchange(searched_, 0), bytes.size()));
  const auto limit = static_cast<size_t>(listener_->limits().max_header_bytes);
  if (end != std::string_view::npos && end <= limit) {
    return BeginRequest(bytes.substr(0, end), bytes.substr(end), now);
  }
  if (state_.phase == Phase::kIdle) SetPhase(Phase::kHeader, now);
  if (std::min(end, bytes.size()) > limit) {
    const ResultCode code = ResultCode::kHeaderTooLarge;
    return Refuse(code, TextOf(code, listener_->limits()), CauseOf(code), now);
  }
  NoteProgress(now);
  const auto held = static_cast<int64_t>(bytes.size());
  if (!listener_->MakeRoom(held, this, now)) {
    const ResultCode code = ResultCode::kServerBusy;
    return Refuse(code, TextOf(code, listener_->limits()), CauseOf(code), now);
  }
  SetCharge(held);
  searched_ = bytes.size();
  unread_ = joined.size() == bytes.size() ? std::move(joined) : std::string(bytes);
  WaitForBytes();
}

void Connection::BeginRequest(std::string_view head, std::string_view rest, TimePoint now) {
  listener_->in_flight.fetch_add(1);
  listener_->arrived.fetch_add(1);
  in_flight_ = true;
  head_ = RequestHead();
  discarded_ = 0;
  const std::error_code fault = ParseHead(head, listener_->limits().max_header_fields, &head_);
  echoed_id_ = fault == ResultCode::kBadField ? std::string()
                                              : HeaderOf(head_.request.headers, kRequestIdHeader);
  is_head_request_ = head_.request.method == "HEAD";
  closes_ = !head_.keeps_connection;
  SetPhase(Phase::kBody, now);
  const ResultCode code = Admit(fault, head.size(), now);
  if (code != ResultCode::kOk) {
    return Refuse(code, TextOf(code, listener_->limits()), CauseOf(code), now);
  }
  remaining_body_ = static_cast<size_t>(head_.body_bytes);
  head_.request.body.reserve(remaining_body_);
  if (head_.expects_continue && rest.size() < remaining_body_) SendContinue();
  ConsumeBody(rest, now);
}

ResultCode Connection::Admit(const std::error_code& fault, size_t head_bytes, TimePoint now) {
  if (fault) return static_cast<ResultCode>(fault.value());
  if (head_.body_bytes > static_cast<uint64_t>(MaxBodyBytes(listener_->limits()))) {
    return ResultCode::kTooLarge;
  }
  const int64_t cost = RequestCost(static_cast<int64_t>(head_bytes), head_.fields,
                                   static_cast<int64_t>(head_.body_bytes));
  if (!listener_->MakeRoom(cost, this, now)) return ResultCode::kServerBusy;
  SetCharge(cost);
  return ResultCode::kOk;
}

void Connection::SendContinue() {
  Error ec;
  // A peer that cannot take these bytes sends its body without them.
  socket_.write_some(boost::asio::buffer(kContinue.data(), kContinue.size()), ec);
}

void Connection::ConsumeBody(std::string_view bytes, TimePoint now) {
  const size_t n = std::min(bytes.size(), remaining_body_);
  head_.request.body.append(bytes.data(), n);
  remaining_body_ -= n;
  if (bytes.size() > n) {
    unread_.assign(bytes.substr(n));
    SetCharge(state_.charged + static_cast<int64_t>(unread_.size()));
  }
  if (remaining_body_ == 0) return Handle(now);
  NoteProgress(now);
  WaitForBytes();
}

void Connection::Handle(TimePoint now) {
  SetPhase(Phase::kHandling, now);
  const Reply reply = MakeReply(listener_, shared_from_this());
  try {
    listener_->handler()(std::move(head_.request), reply);
  } catch (const std::exception& e) {
    reply(ErrorResponse(ResultCode::kBadJson, std::string("request not read: ") + e.what()));
  }
  head_ = RequestHead();
}

void Connection::Refuse(ResultCode code, const std::string& text, CloseCause cause, TimePoint now) {
  listener_->Count(cause);
  closes_ = true;
  unread_ = std::string();
  head_ = RequestHead();
  if (!in_flight_) {
    listener_->in_flight.fetch_add(1);
    in_flight_ = true;
  }
  HttpResponse response = ErrorResponse(code, text);
  if (code == ResultCode::kServerBusy) response.headers["Retry-After"] = kRetryAfterSeconds;
  SetCharge(0);
  Respond(response, now);
}

void Connection::Respond(const HttpResponse& response, TimePoint now) {
  if (!self_) {
    // The connection ended while the handler had the request.
    listener_->in_flight.fetch_sub(1);
    return;
  }
  closes_ = closes_ || listener_->stopping.load() ||
            strcasecmp(HeaderOf(response.headers, "Connection").c_str(), "close") == 0;
  out_ = ResponseBytes(response, echoed_id_, closes_, is_head_request_);
  written_ = 0;
  SetPhase(Phase::kWriting, now);
  SetCharge(state_.charged + static_cast<int64_t>(out_.size()));
  ContinueWriting(now);
}

void Connection::ContinueWriting(TimePoint now) {
  Error ec;
  const size_t n =
      socket_.write_some(boost::asio::buffer(out_.data() + written_, out_.size() - written_), ec);
  if (ec && !IsWouldBlock(ec)) return Close();
  written_ += ec ? 0 : n;
  if (written_ == out_.size()) return FinishResponse(now);
  if (!ec) NoteProgress(now);
  socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const Error& wait_ec) {
    if (!self->self_) return;
    if (wait_ec) return self->Close();
    self->ContinueWriting(Now());
  });
}

void Connection::FinishResponse(TimePoint now) {
  listener_->in_flight.fetch_sub(1);
  in_flight_ = false;
  out_ = std::string();
  echoed_id_ = std::string();
  is_head_request_ = false;
  if (closes_) return Linger(now);
  SetCharge(static_cast<int64_t>(unread_.size()));
  SetPhase(Phase::kIdle, now);
  if (unread_.empty()) return WaitForBytes();
  // Others come in between requests that were sent ahead.
  boost::asio::post(listener_->strand(), [self = shared_from_this()] {
    if (self->self_) self->Consume({}, Now());
  });
}

void Connection::Linger(TimePoint now) {
  SetCharge(0);
  unread_ = std::string();
  Error ec;
  socket_.shutdown(Socket::shutdown_send, ec);
  if (ec) return Close();
  SetPhase(Phase::kLingering, now);
  WaitForBytes();
}

}  // namespace pomelopond::http
