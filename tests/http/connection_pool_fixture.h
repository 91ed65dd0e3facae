// A server whose connections the test handles, and a connection pool.
#ifndef POMELOPOND_TESTS_HTTP_CONNECTION_POOL_FIXTURE_H_
#define POMELOPOND_TESTS_HTTP_CONNECTION_POOL_FIXTURE_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/connection_pool.h"

namespace pomelopond::http {

inline constexpr Duration kTimeout = std::chrono::seconds(20);
inline constexpr Duration kShort = std::chrono::milliseconds(150);
inline constexpr const char* kGood = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

inline bool WaitReadable(int fd, Duration timeout) {
  pollfd it{fd, POLLIN, 0};
  return poll(&it, 1, static_cast<int>(Milliseconds(timeout))) == 1;
}

// The server's end of a connection.
class ServerConnection {
 public:
  explicit ServerConnection(int fd) : fd_(fd) {}
  ~ServerConnection() { Close(); }
  ServerConnection(ServerConnection&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  ServerConnection& operator=(ServerConnection&&) = delete;

  // Returns what arrives up to an empty line, or less if the client closes the connection.
  std::string ReadHead() {
    std::string in;
    char byte = 0;
    while (in.find("\r\n\r\n") == std::string::npos) {
      if (!WaitReadable(fd_, kTimeout) || recv(fd_, &byte, 1, 0) != 1) break;
      in += byte;
    }
    return in;
  }
  size_t ReadBytes(size_t n) {
    std::vector<char> buf(n);
    const ssize_t got = recv(fd_, buf.data(), n, MSG_WAITALL);
    return got < 0 ? 0 : static_cast<size_t>(got);
  }
  std::string ReadBody(size_t n) {
    std::string body(n, 0);
    body.resize(static_cast<size_t>(std::max<ssize_t>(0, recv(fd_, body.data(), n, MSG_WAITALL))));
    return body;
  }
  void Write(const std::string& bytes) { send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  bool IsClosedByClient() { return WaitReadable(fd_, kTimeout) && ReadHead().empty(); }
  void Close() {
    if (fd_ >= 0) close(std::exchange(fd_, -1));
  }

 private:
  int fd_;
};

class ConnectionPoolTest : public ::testing::Test {
 protected:
  ConnectionPoolTest() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.77.251", &address.sin_addr);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(listener_, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size), 0);
    lane.endpoint = {"127.0.77.251", ntohs(address.sin_port)};
  }
  ~ConnectionPoolTest() override { close(listener_); }

  void Listen(int backlog = 16) { EXPECT_EQ(listen(listener_, backlog), 0); }
  bool HasConnection(Duration timeout) const { return WaitReadable(listener_, timeout); }
  ServerConnection Accept() const {
    EXPECT_TRUE(HasConnection(kTimeout));
    return ServerConnection(accept(listener_, nullptr, nullptr));
  }
  std::future<HttpResult> Send(const std::string& path, Duration timeout = kTimeout) {
    HttpRequest request;
    request.path = path;
    return Send(request, timeout);
  }
  std::future<HttpResult> Send(const HttpRequest& request, Duration timeout) {
    const auto promise = std::make_shared<std::promise<HttpResult>>();
    pool->Send(lane, request, timeout,
               [promise](HttpResult it) { promise->set_value(std::move(it)); });
    return promise->get_future();
  }

  std::future<HttpResult> Send(const HttpRequest& request, const ConnectionTie& tie,
                               Duration timeout = kTimeout) {
    const auto promise = std::make_shared<std::promise<HttpResult>>();
    pool->Send(
        lane, request, timeout, [promise](HttpResult it) { promise->set_value(std::move(it)); },
        tie);
    return promise->get_future();
  }

  ServerLane lane;
  std::unique_ptr<ConnectionPool> pool = std::make_unique<ConnectionPool>();

 private:
  const int listener_;
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_TESTS_HTTP_CONNECTION_POOL_FIXTURE_H_
