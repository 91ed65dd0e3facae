#include "fakes/target/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace pomelopond::fakes {
namespace {

constexpr int kBacklog = 1024;
constexpr size_t kMaxHeadBytes = 64 << 10;
constexpr size_t kMaxBodyBytes = 8 << 20;
constexpr size_t kReadBufferBytes = 16 << 10;
// Interval at which a waiting connection checks whether the server is stopping.
constexpr int kPollMs = 100;

// Appends received bytes to `in`. Returns false if the peer has closed the connection or it failed.
bool ReadMore(int connection, std::string* in) {
  char buf[kReadBufferBytes];
  const ssize_t n = recv(connection, buf, sizeof(buf), 0);
  if (n <= 0) return false;
  in->append(buf, static_cast<size_t>(n));
  return true;
}

// Returns false if the connection failed.
bool WriteAll(int connection, const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = send(connection, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

// Removes spaces and tabs from both ends.
std::string Trim(const std::string& text) {
  const size_t from = text.find_first_not_of(" \t");
  if (from == std::string::npos) return {};
  return text.substr(from, text.find_last_not_of(" \t") - from + 1);
}

// Parses the request line and headers in `head`, which ends with an empty line.
http::HttpRequest ParseHead(const std::string& head) {
  http::HttpRequest request;
  size_t line_end = head.find("\r\n");
  const std::string request_line = head.substr(0, line_end);
  const size_t space = request_line.find(' ');
  const size_t second_space = request_line.find(' ', space + 1);
  if (space != std::string::npos && second_space != std::string::npos) {
    request.method = request_line.substr(0, space);
    request.path = request_line.substr(space + 1, second_space - space - 1);
  }
  while (line_end + 2 < head.size()) {
    const size_t from = line_end + 2;
    line_end = head.find("\r\n", from);
    const std::string line = head.substr(from, line_end - from);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    request.headers[line.substr(0, colon)] = Trim(line.substr(colon + 1));
  }
  return request;
}

// Returns the Content-Length, at most kMaxBodyBytes; 0 if absent or malformed.
size_t BodyLength(const http::HttpRequest& request) {
  const std::string text = http::HeaderOf(request.headers, "Content-Length");
  size_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return std::min(n, kMaxBodyBytes);
}

// Waits until `delay` has passed, the peer closes the connection or `stopping` is set. Returns true
// if the delay has passed.
bool DelayUnlessClosed(int connection, Duration delay, const std::atomic<bool>& stopping) {
  const TimePoint end = Now() + delay;
  for (;;) {
    const TimePoint now = Now();
    if (now >= end) return true;
    if (stopping.load()) return false;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - now).count() + 1;
    pollfd it{connection, POLLRDHUP, 0};
    if (poll(&it, 1, static_cast<int>(std::min<int64_t>(left, kPollMs))) > 0) return false;
  }
}

// Sleeps for `delay`, the time that a target takes to run a request. A caller that closes the
// connection does not end the run. Returns false if `stopping` was set first.
bool SimulateWork(Duration delay, const std::atomic<bool>& stopping) {
  constexpr Duration kStep = std::chrono::milliseconds(kPollMs);
  const TimePoint end = Now() + delay;
  for (TimePoint now = Now(); now < end; now = Now()) {
    if (stopping.load()) return false;
    std::this_thread::sleep_for(std::min<Duration>(end - now, kStep));
  }
  return true;
}

}  // namespace

std::string ToBytes(const http::HttpResponse& response) {
  std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " Answer\r\n";
  for (const auto& [name, value] : response.headers) bytes += name + ": " + value + "\r\n";
  return bytes + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" +
         response.body;
}

RawServer::RawServer(const Endpoint& endpoint, RawHandler handler)
    : endpoint_(endpoint), handler_(std::move(handler)) {}

RawServer::~RawServer() {
  stopping_.store(true);
  if (socket_ >= 0) shutdown(socket_, SHUT_RDWR);
  if (acceptor_.joinable()) acceptor_.join();
  std::unique_lock<std::mutex> lock(mutex_);
  for (const int it : connections_) shutdown(it, SHUT_RDWR);
  all_closed_.wait(lock, [this] { return connections_.empty(); });
  lock.unlock();
  if (socket_ >= 0) close(socket_);
}

bool RawServer::Start() {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint_.port);
  inet_pton(AF_INET, endpoint_.address.c_str(), &address.sin_addr);
  if (bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) return false;
  if (listen(socket_, kBacklog) != 0) return false;
  acceptor_ = std::thread([this] { Accept(); });
  return true;
}

void RawServer::Accept() {
  while (!stopping_.load()) {
    const int connection = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) continue;
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      connections_.insert(connection);
    }
    std::thread([this, connection] { ServeConnection(connection); }).detach();
  }
}

void RawServer::ServeConnection(int connection) {
  ServeRequests(connection);
  const std::lock_guard<std::mutex> lock(mutex_);
  close(connection);
  connections_.erase(connection);
  // Notifies under the lock, because the destructor may free this object as soon as it finds
  // connections_ empty.
  all_closed_.notify_all();
}

void RawServer::ServeRequests(int connection) {
  std::string in;
  for (;;) {
    size_t head = 0;
    while ((head = in.find("\r\n\r\n")) == std::string::npos) {
      if (in.size() > kMaxHeadBytes || !ReadMore(connection, &in)) return;
    }
    head += 4;
    http::HttpRequest request = ParseHead(in.substr(0, head));
    const size_t length = BodyLength(request);
    while (in.size() < head + length) {
      if (!ReadMore(connection, &in)) return;
    }
    request.body = in.substr(head, length);
    in.erase(0, head + length);
    const bool close_connection =
        strcasecmp(http::HeaderOf(request.headers, "Connection").c_str(), "close") == 0;
    const RawAnswer answer = handler_(std::move(request));
    const bool keep_open = SendAnswer(connection, answer);
    if (!keep_open || close_connection) return;
  }
}

bool RawServer::SendAnswer(int connection, const RawAnswer& answer) const {
  bool keep_open = !answer.close && !answer.no_answer;
  if (answer.no_answer) {
    DelayUnlessClosed(connection, std::chrono::hours(1), stopping_);
  } else {
    keep_open = SimulateWork(answer.delay, stopping_) && keep_open;
  }
  if (answer.done) answer.done();
  if (answer.no_answer || !WriteAll(connection, answer.bytes)) return false;
  if (!answer.unsolicited_bytes.empty()) {
    keep_open = DelayUnlessClosed(connection, answer.unsolicited_delay, stopping_) && keep_open &&
                WriteAll(connection, answer.unsolicited_bytes);
  }
  return keep_open;
}

}  // namespace pomelopond::fakes
