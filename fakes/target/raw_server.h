// Provides the HTTP server of the fake target. It uses plain sockets, so that it can violate the
// protocol.
#ifndef POMELOPOND_FAKES_TARGET_RAW_SERVER_H_
#define POMELOPOND_FAKES_TARGET_RAW_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_message.h"

namespace pomelopond::fakes {

// How the server answers one request.
struct RawAnswer {
  Duration delay{};               // time before the bytes are written
  std::string bytes;              // written unchanged; may be empty
  bool close = false;             // closes the connection after the bytes
  bool no_answer = false;         // writes nothing and waits until the peer closes, at most 1 hour
  std::string unsolicited_bytes;  // second answer, which no request asked for; empty: none
  Duration unsolicited_delay{};   // time between the answer and `unsolicited_bytes`
  std::function<void()> done;     // called before the answer is written, when the run has ended
};

using RawHandler = std::function<RawAnswer(http::HttpRequest)>;

// Serialises a well-formed answer.
std::string ToBytes(const http::HttpResponse& response);

// An HTTP/1.1 server with one thread per connection. A request body needs a Content-Length.
class RawServer {
 public:
  RawServer(const Endpoint& endpoint, RawHandler handler);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // Binds the address and starts accepting connections. Returns false if the address cannot be
  // bound.
  bool Start();

 private:
  void Accept();
  void ServeConnection(int connection);
  // Handles the requests of one connection until either side closes it.
  void ServeRequests(int connection);
  // Returns true if the connection stays open for another request.
  bool SendAnswer(int connection, const RawAnswer& answer) const;

  const Endpoint endpoint_;
  const RawHandler handler_;
  int socket_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;

  std::mutex mutex_;  // guards connections_
  std::condition_variable all_closed_;
  std::set<int> connections_;
};

}  // namespace pomelopond::fakes

#endif  // POMELOPOND_FAKES_TARGET_RAW_SERVER_H_
