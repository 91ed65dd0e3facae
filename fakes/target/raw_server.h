// HTTP server of the target stand-in, over plain sockets so that it can break the protocol.
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

// What a connection does with one request.
struct RawAnswer {
  Duration delay{};
  std::string bytes;              // written as they are; may be empty
  bool close = false;             // closes the connection after the bytes
  bool no_answer = false;         // writes nothing and waits until the peer closes
  std::string unsolicited_bytes;  // written `unsolicited_delay` after the answer, which no request
                                  // asked for
  Duration unsolicited_delay{};
  std::function<void()> done;  // called when the request has ended for this server
};

using RawHandler = std::function<RawAnswer(http::HttpRequest)>;

// The bytes of a well-formed answer.
std::string ToBytes(const http::HttpResponse& response);

// One thread per connection. Bodies need a Content-Length.
class RawServer {
 public:
  RawServer(const Endpoint& endpoint, RawHandler handler);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // False when the address cannot be bound.
  bool Start();

 private:
  void Accept();
  void ServeConnection(int connection);
  // Handles the requests of one connection until one side closes it.
  void ServeRequests(int connection);
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
