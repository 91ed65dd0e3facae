#include "http/internal/pool_reactor.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "base/result_code.h"

namespace pomelopond::http {
namespace {

constexpr uint32_t kReadable = EPOLLIN | EPOLLRDHUP;
// Deadlines are rounded up to a multiple of this, so that calls that time out together cause one
// wake-up.
constexpr Duration kDeadlineStep = std::chrono::milliseconds(20);

TimePoint RoundUp(TimePoint deadline) {
  const Duration since = deadline.time_since_epoch();
  return TimePoint((since + kDeadlineStep - Duration(1)) / kDeadlineStep * kDeadlineStep);
}

uint64_t KeyOf(const PoolCall& call) {
  return (uint64_t{call.address.sin_addr.s_addr} << 32) | (uint64_t{call.address.sin_port} << 16) |
         call.lane;
}

int OpenSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

// True when the request of the call may go out on the connection.
bool IsTiedTo(const PoolCall& call, const PoolConnection& it) {
  if (call.tied_to != 0 && call.tied_to != it.number) return false;
  return !call.process || call.process == it.process;
}

// Returns the error of a call that ends without an answer. Only a request of which no byte was
// written is known not to be handled.
std::error_code ErrorOf(const PoolConnection& it, ResultCode after_sending) {
  return it.written > 0 ? after_sending : ResultCode::kTargetUnreachable;
}

}  // namespace

PoolReactor::PoolReactor(const ConnectionPoolOptions& options, int wake_fd)
    : options_(options),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wake_fd_(wake_fd),
      buf_(options.read_bytes),
      most_lanes_(options.max_lanes) {
  epoll_event event{};
  event.events = EPOLLIN;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_fd_, &event);
}

PoolReactor::~PoolReactor() { close(epoll_); }

int PoolReactor::TimeoutMs(TimePoint now) {
  while (!deadlines_.empty() && deadlines_.begin()->second.empty()) {
    deadlines_.erase(deadlines_.begin());
  }
  if (deadlines_.empty()) return -1;
  const Duration left = deadlines_.begin()->first - now;
  if (left <= Duration::zero()) return 0;
  return static_cast<int>(Milliseconds(left) + 1);
}

void PoolReactor::Wait(bool may_block, TimePoint now) {
  closed_.clear();
  const int timeout_ms = may_block ? TimeoutMs(now) : 0;
  ready_ = epoll_wait(epoll_, events_.data(), static_cast<int>(events_.size()), timeout_ms);
}

bool PoolReactor::HandleReady(TimePoint now) {
  bool has_work = false;
  for (int n = 0; n < ready_; ++n) {
    const epoll_event& it = events_[static_cast<size_t>(n)];
    if (it.data.ptr == nullptr) {
      uint64_t count = 0;
      (void)!read(wake_fd_, &count, sizeof(count));
      continue;
    }
    has_work = true;
    Handle(static_cast<PoolConnection*>(it.data.ptr), it.events, now);
  }
  // Answers to calls that are due may have arrived.
  if (may_have_more()) return true;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    CallList& due = deadlines_.begin()->second;
    has_work = has_work || !due.empty();
    while (!due.empty()) EndCall(&due.front(), now);
    deadlines_.erase(deadlines_.begin());
  }
  return has_work;
}

PoolLane* PoolReactor::LaneOf(const PoolCall& call) {
  const uint64_t key = KeyOf(call);
  if (lanes_.size() >= most_lanes_ && lanes_.count(key) == 0) RemoveUnusedLanes();
  PoolLane& lane = lanes_[key];
  lane.max_connections = call.max_connections;
  return &lane;
}

// The lanes that are in use may exceed the limit. Then the next removal follows once as many have
// been added as half of the limit, as it looks at all of them.
void PoolReactor::RemoveUnusedLanes() {
  CloseIdle();
  for (auto it = lanes_.begin(); it != lanes_.end();) {
    const bool is_unused = it->second.connections.empty() && it->second.waiting.empty();
    it = is_unused ? lanes_.erase(it) : std::next(it);
  }
  most_lanes_ = std::max(options_.max_lanes, lanes_.size() + options_.max_lanes / 2);
}

void PoolReactor::Start(PoolCallPtr call, TimePoint now) {
  if (call->address.sin_port == 0 || call->deadline <= now) {
    return call->Finish(ResultCode::kTargetUnreachable, {}, now);
  }
  PoolLane* const lane = LaneOf(*call);
  call->pool_lane = lane;
  deadlines_[RoundUp(call->deadline)].push_back(*call);
  lane->waiting.push_back(std::move(call));
  SendWaiting(lane, now);
}

void PoolReactor::SendWaiting(PoolLane* lane, TimePoint now) {
  while (!lane->waiting.empty()) {
    // The thread may have been held up past the deadline.
    if (lane->waiting.front()->deadline <= now) {
      EndCall(lane->waiting.front().get(), now);
      continue;
    }
    PoolConnection* it = LongestIdle(*lane, *lane->waiting.front());
    const auto open = static_cast<int>(lane->connections.size());
    if (it == nullptr && open >= lane->max_connections) return;
    PoolCallPtr call = std::move(lane->waiting.front());
    lane->waiting.pop_front();
    if (it == nullptr) it = Connect(lane, call->address);
    if (it == nullptr) {
      call->Finish(ResultCode::kTargetUnreachable, {}, now);
      continue;
    }
    call->sent_at = now;
    call->connection = it;
    call->connection_number = it->number;
    call->sends_other = !IsTiedTo(*call, *it);
    it->call = std::move(call);
    it->written = 0;
    if (it->state != ConnectionState::kConnecting) Write(it, now);
  }
}

PoolConnection* PoolReactor::LongestIdle(const PoolLane& lane, const PoolCall& call) {
  PoolConnection* longest = nullptr;
  bool is_tied = false;  // to `longest`
  for (const auto& it : lane.connections) {
    if (it->state != ConnectionState::kIdle) continue;
    const bool ties = IsTiedTo(call, *it);
    const bool is_longer = longest == nullptr || it->idle_since < longest->idle_since;
    if (is_tied == ties ? !is_longer : is_tied) continue;
    longest = it.get();
    is_tied = ties;
  }
  return longest;
}

PoolConnection* PoolReactor::Connect(PoolLane* lane, const sockaddr_in& address) {
  auto it = std::make_unique<PoolConnection>();
  it->fd = OpenSocket();
  if (it->fd < 0 && (errno == EMFILE || errno == ENFILE)) {
    CloseIdle();
    it->fd = OpenSocket();
  }
  if (it->fd < 0) return nullptr;
  it->lane = lane;
  it->number = ++connections_;
  const int on = 1;
  setsockopt(it->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const int failed = connect(it->fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (failed != 0 && errno != EINPROGRESS) {
    close(it->fd);
    return nullptr;
  }
  epoll_event event{};
  it->watched = EPOLLOUT;
  event.events = it->watched;
  event.data.ptr = it.get();
  epoll_ctl(epoll_, EPOLL_CTL_ADD, it->fd, &event);
  lane->connections.push_back(std::move(it));
  return lane->connections.back().get();
}

void PoolReactor::Watch(PoolConnection* it, uint32_t events) {
  if (it->watched == events) return;
  it->watched = events;
  epoll_event event{};
  event.events = events;
  event.data.ptr = it;
  epoll_ctl(epoll_, EPOLL_CTL_MOD, it->fd, &event);
}

void PoolReactor::Close(PoolConnection* it) {
  close(it->fd);
  it->state = ConnectionState::kClosed;
  auto& connections = it->lane->connections;
  const auto at = std::find_if(connections.begin(), connections.end(),
                               [it](const auto& other) { return other.get() == it; });
  closed_.push_back(std::move(*at));
  connections.erase(at);
}

void PoolReactor::Handle(PoolConnection* it, uint32_t events, TimePoint now) {
  if (it->state == ConnectionState::kClosed) return;
  // The server has closed the idle connection or has sent unsolicited bytes: a late or duplicate
  // answer, which would be taken for the answer to the next request.
  if (it->state == ConnectionState::kIdle) return Close(it);
  if (it->state == ConnectionState::kConnecting) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(it->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return Fail(it, ResultCode::kTargetUnreachable, now);
    it->state = ConnectionState::kWriting;
    return Write(it, now);
  }
  if ((events & ~uint32_t{EPOLLOUT}) != 0) return Read(it, now);
  Write(it, now);
}

void PoolReactor::Write(PoolConnection* it, TimePoint now) {
  const std::string& text = it->call->sends_other ? it->call->other_text : it->call->text;
  const ssize_t n =
      send(it->fd, text.data() + it->written, text.size() - it->written, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    return Fail(it, ErrorOf(*it, ResultCode::kTruncatedAnswer), now);
  }
  it->written += static_cast<size_t>(std::max<ssize_t>(n, 0));
  const bool is_written = it->written == text.size();
  it->state = is_written ? ConnectionState::kReading : ConnectionState::kWriting;
  Watch(it, is_written ? kReadable : kReadable | EPOLLOUT);
}

void PoolReactor::Read(PoolConnection* it, TimePoint now) {
  for (;;) {
    const ssize_t n = recv(it->fd, buf_.data(), buf_.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (n <= 0) return Fail(it, ErrorOf(*it, ResultCode::kTruncatedAnswer), now);
    const auto size = static_cast<size_t>(n);
    const AnswerState state = it->call->parser->Read({buf_.data(), size});
    if (state == AnswerState::kComplete) {
      // Bytes that follow the answer may be left. They would be taken for the next answer.
      it->closes = it->closes || size == buf_.size();
      return Complete(it, now);
    }
    if (state == AnswerState::kMalformed) return Fail(it, ResultCode::kTruncatedAnswer, now);
    if (size < buf_.size()) return;
  }
}

void PoolReactor::Complete(PoolConnection* it, TimePoint now) {
  const bool is_written = it->state == ConnectionState::kReading;
  const bool stays = is_written && !it->closes && it->call->parser->KeepsConnection();
  HttpResult answer;
  answer.response = it->call->parser->TakeResponse();
  if (it->call->sends_other && it->call->process && it->call->is_from_process(answer)) {
    if (!stays) return Fail(it, ResultCode::kTargetUnreachable, now);
    it->process = it->call->process;
    return SendTied(it, now);
  }
  const PoolCallPtr call = std::move(it->call);
  call->unlink();
  if (stays) {
    it->state = ConnectionState::kIdle;
    it->idle_since = now;
  } else {
    Close(it);
  }
  SendWaiting(call->pool_lane, now);
  call->Finish({}, std::move(answer.response), now);
}

void PoolReactor::SendTied(PoolConnection* it, TimePoint now) {
  PoolCall* const call = it->call.get();
  call->sends_other = false;
  call->parser.emplace(call->max_answer_bytes);
  call->unlink();
  call->deadline = now + call->timeout;
  deadlines_[RoundUp(call->deadline)].push_back(*call);
  it->written = 0;
  Write(it, now);
}

void PoolReactor::Fail(PoolConnection* it, std::error_code ec, TimePoint now) {
  const PoolCallPtr call = std::move(it->call);
  call->unlink();
  Close(it);
  // A request that waits for the answer to another one was not sent.
  const bool waits = call->sends_other && call->process;
  call->Finish(waits ? ResultCode::kTargetUnreachable : ec, {}, now);
  SendWaiting(call->pool_lane, now);
}

void PoolReactor::EndCall(PoolCall* call, TimePoint now) {
  if (call->connection != nullptr) {
    return Fail(call->connection, ErrorOf(*call->connection, ResultCode::kTimeout), now);
  }
  std::list<PoolCallPtr>& waiting = call->pool_lane->waiting;
  const auto at = std::find_if(waiting.begin(), waiting.end(),
                               [call](const PoolCallPtr& other) { return other.get() == call; });
  const PoolCallPtr ended = std::move(*at);
  waiting.erase(at);
  ended->unlink();
  ended->Finish(ResultCode::kTargetUnreachable, {}, now);
}

void PoolReactor::CloseIdle() {
  std::vector<PoolConnection*> idle;
  for (const auto& [key, lane] : lanes_) {
    for (const auto& it : lane.connections) {
      if (it->state == ConnectionState::kIdle) idle.push_back(it.get());
    }
  }
  for (PoolConnection* it : idle) Close(it);
}

void PoolReactor::EndWaiting(TimePoint now) {
  for (auto& [key, lane] : lanes_) {
    while (!lane.waiting.empty()) EndCall(lane.waiting.front().get(), now);
  }
}

void PoolReactor::Disconnect(TimePoint now) {
  EndWaiting(now);
  CloseIdle();
  for (const auto& [key, lane] : lanes_) {
    for (const auto& it : lane.connections) it->closes = true;
  }
}

void PoolReactor::EndAll(TimePoint now) {
  // First the calls that wait, so that none of them is sent.
  EndWaiting(now);
  std::vector<PoolConnection*> open;
  for (const auto& [key, lane] : lanes_) {
    for (const auto& it : lane.connections) open.push_back(it.get());
  }
  for (PoolConnection* it : open) {
    if (it->call == nullptr) {
      Close(it);
    } else {
      Fail(it, ErrorOf(*it, ResultCode::kTruncatedAnswer), now);
    }
  }
}

}  // namespace pomelopond::http
