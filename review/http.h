// Small HTTP/1.1 server and client for the review's stand-ins.
#ifndef POMELOPOND_REVIEW_HTTP_H_
#define POMELOPOND_REVIEW_HTTP_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string path;                            // without the query
  std::map<std::string, std::string> query;    // decoded
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 200;
  std::string body = "{}";
  bool reset = false;  // reset the connection instead of answering
};

// A server on one loopback address and a free port, with a thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  // At most `max_connections` are open at one time, and further ones are reset; 0: no limit.
  Server(const std::string& address, Handler handler, int max_connections = 0);

  // Starts to listen. The first call chooses a free port; later ones use it again.
  void Open();
  // Stops listening and resets all connections, as when a process ends: new ones are refused.
  void Reset();
  // Goes silent like a host without power: connections stay open without an answer.
  void GoDark();
  // Open connections go silent for good, and new ones work.
  void SilenceOpenConnections();
  // Ends the darkness. Bytes on a connection from before are answered by a reset.
  void EndDark();

  bool Serving() const { return open_.load() && !dark_.load(); }
  // Changes when the open connections come to their end. Handlers that wait stop when it changes.
  int Life() const { return life_.load(); }
  int Connections() const { return connections_.load(); }
  std::string Endpoint() const { return address_ + ":" + std::to_string(port_); }

 private:
  void Accept(int listener, int life);
  void Serve(int fd, int life);

  const std::string address_;
  const Handler handler_;
  const int max_connections_;
  std::atomic<int> connections_{0};
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> open_{false};
  std::atomic<bool> dark_{false};
  std::atomic<int> life_{0};
  std::atomic<int> silent_life_{-1};  // connections of this life and earlier ones are silent
};

// Returns a free TCP port of the address.
int FreePort(const std::string& address);

struct Answer {
  int status = 0;  // 0: no answer
  std::string body;
};

// Sends one request on a connection of its own.
Answer Call(const std::string& endpoint, const std::string& method, const std::string& path,
            const std::string& host, const std::string& body, int timeout_ms);

}  // namespace review

#endif  // POMELOPOND_REVIEW_HTTP_H_
