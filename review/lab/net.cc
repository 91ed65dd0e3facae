#include "review/lab/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <thread>
#include <utility>

namespace pomelopond::lab {
namespace {

sockaddr_in AddressOf(const std::string& address, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, address.c_str(), &out.sin_addr);
  return out;
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

// Reads more bytes into `buf`. Returns false at the end of the connection or its timeout.
bool ReadMore(int fd, std::string* buf) {
  char bytes[16384];
  const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
  if (n <= 0) return false;
  buf->append(bytes, static_cast<size_t>(n));
  return true;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
  return text;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

std::map<std::string, std::string> HeadersOf(const std::string& head) {
  std::map<std::string, std::string> out;
  size_t from = head.find("\r\n");
  while (from != std::string::npos && from + 2 < head.size()) {
    const size_t end = head.find("\r\n", from + 2);
    const std::string line = head.substr(from + 2, end - from - 2);
    const size_t colon = line.find(':');
    from = end;
    if (colon == std::string::npos) continue;
    const size_t value = line.find_first_not_of(' ', colon + 1);
    out[Lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
  }
  return out;
}

// Reads one message with a Content-Length. What follows stays in `buf`.
std::optional<Message> ReadMessage(int fd, std::string* buf) {
  size_t end = buf->find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(fd, buf)) return std::nullopt;
    end = buf->find("\r\n\r\n");
  }
  Message out;
  const std::string head = buf->substr(0, end);
  out.first_line = head.substr(0, head.find("\r\n"));
  out.headers = HeadersOf(head);
  const auto length = out.headers.find("content-length");
  const size_t size =
      length == out.headers.end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
  while (buf->size() < end + 4 + size) {
    if (!ReadMore(fd, buf)) return std::nullopt;
  }
  out.body = buf->substr(end + 4, size);
  buf->erase(0, end + 4 + size);
  return out;
}

std::string ResponseBytes(const Response& response) {
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n";
  for (const auto& [name, value] : response.headers) out += name + ": " + value + "\r\n";
  out += "Content-Type: application/json\r\nContent-Length: ";
  return out + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

void ServeConnection(int fd, const Handler& handler) {
  std::string buf;
  while (auto message = ReadMessage(fd, &buf)) {
    Request request;
    const std::string& line = message->first_line;
    const size_t space = line.find(' ');
    request.method = line.substr(0, space);
    request.path = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
    request.headers = std::move(message->headers);
    request.body = std::move(message->body);
    const Response response = handler(request);
    if (response.status == 0 || !SendAll(fd, ResponseBytes(response))) break;
  }
  close(fd);
}

int HexDigit(char it) {
  if (it >= '0' && it <= '9') return it - '0';
  return std::tolower(static_cast<unsigned char>(it)) - 'a' + 10;
}

int BoundSocket(const std::string& address, int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in at = AddressOf(address, *port);
  socklen_t size = sizeof(at);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
  if (!bound) {
    close(fd);
    return -1;
  }
  *port = ntohs(at.sin_port);
  return fd;
}

}  // namespace

int Serve(const std::string& address, int port, Handler handler) {
  const int fd = BoundSocket(address, &port);
  if (fd < 0 || listen(fd, SOMAXCONN) != 0) return 0;
  std::thread([fd, handler = std::move(handler)] {
    for (;;) {
      const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) continue;
      const int on = 1;
      setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread(ServeConnection, peer, handler).detach();
    }
  }).detach();
  return port;
}

int FreePort(const std::string& address) {
  int port = 0;
  const int fd = BoundSocket(address, &port);
  if (fd >= 0) close(fd);
  return port;
}

int Connect(const std::string& address, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = AddressOf(address, port);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0) return fd;
  close(fd);
  return -1;
}

std::string RequestBytes(const Request& request) {
  std::string out = request.method + " " + request.path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : request.headers) out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

Response Call(const std::string& address, int port, const Request& request, int timeout_ms) {
  Response out;
  const int fd = Connect(address, port);
  if (fd < 0) return out;
  timeval limit{};
  limit.tv_sec = timeout_ms / 1000;
  limit.tv_usec = int64_t{timeout_ms} % 1000 * 1000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string buf;
  if (SendAll(fd, RequestBytes(request))) {
    if (auto message = ReadMessage(fd, &buf)) {
      out.status = std::atoi(message->first_line.substr(9, 3).c_str());
      out.body = std::move(message->body);
      out.headers = std::move(message->headers);
    }
  }
  close(fd);
  return out;
}

std::string PathOf(const Request& request) {
  return request.path.substr(0, request.path.find('?'));
}

std::string QueryOf(const Request& request, const std::string& name) {
  size_t from = request.path.find('?');
  while (from != std::string::npos) {
    const size_t end = request.path.find('&', from + 1);
    const std::string pair = request.path.substr(from + 1, end - from - 1);
    from = end;
    if (pair.compare(0, name.size() + 1, name + "=") != 0) continue;
    std::string out;
    for (size_t n = name.size() + 1; n < pair.size(); ++n) {
      if (pair[n] == '%' && n + 2 < pair.size()) {
        out.push_back(static_cast<char>(HexDigit(pair[n + 1]) * 16 + HexDigit(pair[n + 2])));
        n += 2;
      } else {
        out.push_back(pair[n]);
      }
    }
    return out;
  }
  return {};
}

}  // namespace pomelopond::lab
