#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <set>
#include <thread>

namespace review {
namespace {

constexpr int kPollMs = 5;
constexpr int kBacklog = 512;

sockaddr_in AddressOf(const std::string& address, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &out.sin_addr);
  return out;
}

void CloseWithReset(int fd) {
  const linger abort{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  close(fd);
}

bool IsReadable(int fd, int timeout_ms) {
  pollfd it{fd, POLLIN, 0};
  return poll(&it, 1, timeout_ms) > 0;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%' || n + 2 >= text.size()) {
      out.push_back(text[n]);
      continue;
    }
    out.push_back(static_cast<char>(std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16)));
    n += 2;
  }
  return out;
}

void ParseTarget(const std::string& target, Request* request) {
  const size_t mark = target.find('?');
  request->path = target.substr(0, mark);
  if (mark == std::string::npos) return;
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string pair = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    const size_t equals = pair.find('=');
    if (equals == std::string::npos) continue;
    request->query[Unescape(pair.substr(0, equals))] = Unescape(pair.substr(equals + 1));
  }
}

// Header lines after the first line, up to the end of the head.
std::map<std::string, std::string> ParseHeaders(const std::string& head) {
  std::map<std::string, std::string> headers;
  size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t end = std::min(head.find("\r\n", at + 2), head.size());
    const std::string line = head.substr(at + 2, end - at - 2);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      headers[LowerCase(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    at = end == head.size() ? std::string::npos : end;
  }
  return headers;
}

size_t LengthOf(const std::map<std::string, std::string>& headers) {
  const auto it = headers.find("content-length");
  return it == headers.end() ? 0 : std::strtoul(it->second.c_str(), nullptr, 10);
}

// Removes one complete request from the buffer.
std::optional<Request> TakeRequest(std::string* buf) {
  const size_t end = buf->find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  const std::string head = buf->substr(0, end);
  Request request;
  request.headers = ParseHeaders(head);
  const size_t length = LengthOf(request.headers);
  if (buf->size() < end + 4 + length) return std::nullopt;
  request.body = buf->substr(end + 4, length);
  buf->erase(0, end + 4 + length);
  const std::string line = head.substr(0, head.find("\r\n"));
  const size_t first = line.find(' ');
  const size_t second = line.find(' ', first + 1);
  request.method = line.substr(0, first);
  ParseTarget(line.substr(first + 1, second - first - 1), &request);
  return request;
}

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

std::string Encode(const Response& response) {
  return "HTTP/1.1 " + std::to_string(response.status) +
         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

Server::Server(const std::string& address, Handler handler, int max_connections)
    : address_(address), handler_(std::move(handler)), max_connections_(max_connections) {}

void Server::Open() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in own = AddressOf(address_, port_);
  if (bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof(own)) != 0 || listen(fd, kBacklog) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  socklen_t size = sizeof(own);
  getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size);
  port_ = ntohs(own.sin_port);
  listener_ = fd;
  open_.store(true);
  std::thread([this, fd, life = life_.load()] { Accept(fd, life); }).detach();
}

void Server::Reset() {
  // The listening socket goes first, as its number is the lowest when a process ends.
  shutdown(listener_, SHUT_RDWR);
  close(listener_);
  listener_ = -1;
  open_.store(false);
  life_.fetch_add(1);
}

void Server::GoDark() {
  dark_.store(true);
  life_.fetch_add(1);
}

void Server::SilenceOpenConnections() { silent_life_.store(life_.fetch_add(1)); }

void Server::EndDark() { dark_.store(false); }

void Server::Accept(int listener, int life) {
  while (open_.load()) {
    if (!IsReadable(listener, kPollMs)) continue;
    if (!open_.load()) return;
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    SetNoDelay(fd);
    if (max_connections_ > 0 && connections_.load() >= max_connections_) {
      CloseWithReset(fd);
      continue;
    }
    connections_.fetch_add(1);
    // A connection that is made in the dark belongs to no life, so it is reset afterwards.
    const int of = dark_.load() ? life : life_.load();
    std::thread([this, fd, of] {
      Serve(fd, of);
      connections_.fetch_sub(1);
    }).detach();
  }
}

void Server::Serve(int fd, int life) {
  std::string buf;
  std::string chunk(65536, '\0');
  for (;;) {
    if (life != life_.load()) {
      // The life of the connection is over: a closed server resets it at once, one that was dark
      // resets it when bytes arrive.
      if (!open_.load()) return CloseWithReset(fd);
      const bool silent = dark_.load() || life <= silent_life_.load();
      if (!silent && IsReadable(fd, kPollMs)) return CloseWithReset(fd);
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      continue;
    }
    if (!IsReadable(fd, kPollMs)) continue;
    if (life != life_.load()) continue;
    const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
    if (n <= 0) break;
    buf.append(chunk, 0, static_cast<size_t>(n));
    while (std::optional<Request> request = TakeRequest(&buf)) {
      const Response response = handler_(*request);
      if (life != life_.load()) break;
      if (response.reset) return CloseWithReset(fd);
      if (!SendAll(fd, Encode(response))) return CloseWithReset(fd);
    }
  }
  close(fd);
}

int FreePort(const std::string& address) {
  // A port is free again once its socket is closed, and may be offered a second time.
  static std::set<int> offered;
  for (;;) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own = AddressOf(address, 0);
    socklen_t size = sizeof(own);
    const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof(own)) == 0 &&
                       getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size) == 0;
    close(fd);
    const int port = ntohs(own.sin_port);
    if (!bound || offered.insert(port).second) return bound ? port : 0;
  }
}

Answer Call(const std::string& endpoint, const std::string& method, const std::string& path,
            const std::string& host, const std::string& body, int timeout_ms) {
  using std::chrono::steady_clock;
  const auto deadline = steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  const size_t colon = endpoint.rfind(':');
  sockaddr_in to = AddressOf(endpoint.substr(0, colon), std::atoi(&endpoint[colon + 1]));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Answer answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return answer;
  }
  SetNoDelay(fd);
  SendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: " + host +
                  "\r\nPomelopond-Deadline-Ms: " + std::to_string(timeout_ms) +
                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
  std::string buf;
  std::string chunk(65536, '\0');
  while (steady_clock::now() < deadline) {
    if (!IsReadable(fd, kPollMs)) continue;
    const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
    if (n <= 0) break;
    buf.append(chunk, 0, static_cast<size_t>(n));
    const size_t end = buf.find("\r\n\r\n");
    if (end == std::string::npos) continue;
    const size_t length = LengthOf(ParseHeaders(buf.substr(0, end)));
    if (buf.size() < end + 4 + length) continue;
    answer.status = std::atoi(&buf[buf.find(' ') + 1]);
    answer.body = buf.substr(end + 4, length);
    break;
  }
  close(fd);
  return answer;
}

}  // namespace review
