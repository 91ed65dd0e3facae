#include "tests/support/raw_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>

namespace pomelopond::support {
namespace {

std::string Trim(const std::string& text) {
  const size_t from = text.find_first_not_of(" \t");
  return from == std::string::npos ? "" : text.substr(from);
}

// Parses the status line and headers in `head`. The status is 0 if the status line is malformed.
http::HttpResponse ParseHead(const std::string& head) {
  http::HttpResponse response;
  response.status = 0;
  const size_t space = head.find(' ');
  if (head.rfind("HTTP/1.", 0) != 0 || space == std::string::npos) return response;
  std::from_chars(head.data() + space + 1, head.data() + head.size(), response.status);
  size_t from = head.find("\r\n") + 2;
  while (from < head.size()) {
    const size_t end = head.find("\r\n", from);
    const std::string line = head.substr(from, end - from);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      response.headers[line.substr(0, colon)] = Trim(line.substr(colon + 1));
    }
    from = end + 2;
  }
  return response;
}

size_t LengthOf(const http::HttpResponse& response) {
  const std::string text = http::HeaderOf(response.headers, "Content-Length");
  size_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

}  // namespace

bool RawClient::Connect() {
  if (socket_ >= 0) {
    char byte = 0;
    if (recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN) return true;
    Close();
  }
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint_.port);
  inet_pton(AF_INET, endpoint_.address.c_str(), &address.sin_addr);
  if (connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) return true;
  Close();
  return false;
}

void RawClient::Close() {
  if (socket_ >= 0) close(socket_);
  socket_ = -1;
  unread_.clear();
}

bool RawClient::Write(const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = send(socket_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

std::optional<http::HttpResponse> RawClient::Read(Duration timeout) {
  http::HttpResponse response;
  size_t head = std::string::npos;
  for (;;) {
    if (head == std::string::npos && (head = unread_.find("\r\n\r\n")) != std::string::npos) {
      head += 4;
      response = ParseHead(unread_.substr(0, head));
    }
    if (head != std::string::npos && unread_.size() >= head + LengthOf(response)) break;
    pollfd it{socket_, POLLIN, 0};
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    char buf[16 << 10];
    const ssize_t n =
        poll(&it, 1, static_cast<int>(ms)) > 0 ? recv(socket_, buf, sizeof(buf), 0) : -1;
    if (n <= 0) {
      Close();
      return std::nullopt;
    }
    unread_.append(buf, static_cast<size_t>(n));
  }
  const size_t length = LengthOf(response);
  response.body = unread_.substr(head, length);
  unread_.erase(0, head + length);
  if (strcasecmp(http::HeaderOf(response.headers, "Connection").c_str(), "close") == 0) Close();
  return response;
}

std::optional<http::HttpResponse> RawClient::Call(const http::HttpRequest& request,
                                                  Duration timeout) {
  if (!Connect()) return std::nullopt;
  std::string bytes =
      request.method + " " + request.path + " HTTP/1.1\r\nHost: " + ToString(endpoint_) + "\r\n";
  for (const auto& [name, value] : request.headers) bytes += name + ": " + value + "\r\n";
  bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  if (!Write(bytes)) {
    Close();
    return std::nullopt;
  }
  return Read(timeout);
}

}  // namespace pomelopond::support
