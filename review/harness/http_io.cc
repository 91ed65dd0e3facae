#include "http_io.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <utility>

namespace pomelopond::review {
namespace {

constexpr int kBacklog = 256;
constexpr size_t kReadBytes = 65536;
constexpr milliseconds kIdleTimeout{120000};

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%' || n + 2 >= text.size()) {
      out += text[n];
      continue;
    }
    out += static_cast<char>(std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
    n += 2;
  }
  return out;
}

// Reads one message into its first line, headers and body. `rest` keeps what follows it.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

bool Receive(int fd, std::string* rest, Clock::time_point until) {
  const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
  if (left.count() <= 0) return false;
  pollfd it{fd, POLLIN, 0};
  if (poll(&it, 1, static_cast<int>(left.count())) <= 0) return false;
  std::string buf(kReadBytes, '\0');
  const ssize_t n = recv(fd, buf.data(), buf.size(), 0);
  if (n <= 0) return false;
  rest->append(buf, 0, static_cast<size_t>(n));
  return true;
}

std::optional<Message> ReadMessage(int fd, std::string* rest, Clock::time_point until) {
  size_t end = rest->find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Receive(fd, rest, until)) return std::nullopt;
    end = rest->find("\r\n\r\n");
  }
  Message out;
  const std::string head = rest->substr(0, end + 2);
  rest->erase(0, end + 4);
  size_t at = head.find("\r\n");
  out.first_line = head.substr(0, at);
  for (at += 2; at < head.size();) {
    const size_t stop = head.find("\r\n", at);
    const std::string line = head.substr(at, stop - at);
    at = stop + 2;
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const size_t value = line.find_first_not_of(' ', colon + 1);
    out.headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? std::string() : line.substr(value);
  }
  const auto length = out.headers.find("content-length");
  const size_t size =
      length == out.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
  while (rest->size() < size) {
    if (!Receive(fd, rest, until)) return std::nullopt;
  }
  out.body = rest->substr(0, size);
  rest->erase(0, size);
  return out;
}

Request ToRequest(Message in) {
  Request out;
  const size_t first = in.first_line.find(' ');
  const size_t second = in.first_line.find(' ', first + 1);
  out.method = in.first_line.substr(0, first);
  const std::string target = in.first_line.substr(first + 1, second - first - 1);
  const size_t mark = target.find('?');
  out.path = target.substr(0, mark);
  std::string query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
  while (!query.empty()) {
    const size_t end = std::min(query.find('&'), query.size());
    const std::string part = query.substr(0, end);
    query.erase(0, end + 1);
    const size_t equals = part.find('=');
    if (equals == std::string::npos) continue;
    out.query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
  }
  out.headers = std::move(in.headers);
  out.body = std::move(in.body);
  return out;
}

bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  return fd;
}

}  // namespace

uint16_t FreePort(const std::string& ip) {
  const int fd = OpenSocket();
  sockaddr_in it = ToSockaddr({ip, 0});
  socklen_t size = sizeof(it);
  uint16_t port = 0;
  if (bind(fd, reinterpret_cast<const sockaddr*>(&it), size) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&it), &size) == 0) {
    port = ntohs(it.sin_port);
  }
  close(fd);
  return port;
}

Server::Server(const Address& address, Handler handler) : handler_(std::move(handler)) {
  const int fd = OpenSocket();
  const sockaddr_in it = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return;
  }
  listener_ = fd;
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  if (listener_ < 0) return;
  std::map<int, std::thread> open;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    shutdown(listener_, SHUT_RDWR);
    for (const auto& [fd, thread] : connections_) shutdown(fd, SHUT_RDWR);
  }
  acceptor_.join();
  open.swap(connections_);
  for (auto& [fd, thread] : open) {
    thread.join();
    close(fd);
  }
  close(listener_);
}

void Server::Accept() {
  for (;;) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_ || fd < 0) {
      if (fd >= 0) close(fd);
      return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connections_.emplace(fd, std::thread([this, fd] { Serve(fd); }));
  }
}

// The descriptor stays open until the server ends, so that its number is not used again meanwhile.
void Server::Serve(int fd) {
  std::string rest;
  for (;;) {
    std::optional<Message> message = ReadMessage(fd, &rest, Clock::now() + kIdleTimeout);
    if (!message) break;
    const Response response = handler_(ToRequest(std::move(*message)));
    if (response.lost) break;
    const std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!SendAll(fd, text)) break;
  }
  shutdown(fd, SHUT_RDWR);
}

int Send(const Address& to, const Call& call) {
  const int fd = OpenSocket();
  const sockaddr_in it = ToSockaddr(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) != 0) {
    close(fd);
    return -1;
  }
  std::string text = call.method + " " + call.path + " HTTP/1.1\r\nConnection: close\r\n";
  for (const auto& [name, value] : call.headers) text.append(name + ": " + value + "\r\n");
  text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
  SendAll(fd, text);
  return fd;
}

std::optional<Response> ReadAnswer(int fd, milliseconds timeout) {
  if (fd < 0) return std::nullopt;
  std::string rest;
  std::optional<Message> message = ReadMessage(fd, &rest, Clock::now() + timeout);
  close(fd);
  if (!message) return std::nullopt;
  Response out;
  const size_t space = message->first_line.find(' ');
  out.status =
      static_cast<int>(std::strtol(message->first_line.substr(space + 1, 3).c_str(), nullptr, 10));
  out.body = std::move(message->body);
  return out;
}

std::optional<Response> Exchange(const Address& to, const Call& call, milliseconds timeout) {
  return ReadAnswer(Send(to, call), timeout);
}

}  // namespace pomelopond::review
