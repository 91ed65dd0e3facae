// Blocking HTTP/1.1 over loopback: a server with one thread for each connection, and single calls.
#ifndef POMELOPOND_REVIEW_HARNESS_HTTP_IO_H_
#define POMELOPOND_REVIEW_HARNESS_HTTP_IO_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pomelopond::review {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

struct Address {
  std::string ip;
  uint16_t port = 0;
};

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
  bool lost = false;  // the connection is closed without an answer
};

using Handler = std::function<Response(const Request&)>;

// Returns a port of the address that is free now.
uint16_t FreePort(const std::string& ip);

// Listens until it is destroyed. Then all its connections are closed.
class Server {
 public:
  Server(const Address& address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool listening() const { return listener_ >= 0; }

 private:
  void Accept();
  void Serve(int fd);

  const Handler handler_;
  int listener_ = -1;
  std::mutex mutex_;  // guards the members below
  bool stopped_ = false;
  std::map<int, std::thread> connections_;
  std::thread acceptor_;
};

struct Call {
  std::string method = "GET";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Sends the call over a new connection. Returns its descriptor, or -1 without a connection.
int Send(const Address& to, const Call& call);
// Reads the answer and closes the connection. Returns nothing if there is none in time.
std::optional<Response> ReadAnswer(int fd, milliseconds timeout);
std::optional<Response> Exchange(const Address& to, const Call& call, milliseconds timeout);

}  // namespace pomelopond::review

#endif  // POMELOPOND_REVIEW_HARNESS_HTTP_IO_H_
