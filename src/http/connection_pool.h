// Asynchronous HTTP client for many small calls to many servers.
#ifndef POMELOPOND_HTTP_CONNECTION_POOL_H_
#define POMELOPOND_HTTP_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_client.h"
#include "http/http_message.h"

namespace pomelopond::http {

// Connections to one server that carry one kind of call. Calls wait for each other within a lane
// only, in the order in which they were sent.
struct ServerLane {
  Endpoint endpoint;
  uint16_t lane = 0;        // tells the lanes of one server apart
  int max_connections = 1;  // further calls wait for one
};

// Ties a request to a connection, or to the connections to one process. A connection ends with the
// process at its other end, so what only that process may be told does not reach its successor.
struct ConnectionTie {
  uint64_t connection = 0;         // HttpResult::connection of an earlier call; 0: any
  std::optional<int64_t> process;  // by the caller's numbering; none: any
  HttpRequest other_request;       // sent in place of the request on any other connection
  // Whether the answer to `other_request` comes from `process`. Then the connection is one to
  // `process`, and the request follows on it with a timeout of its own. Runs on the pool's thread.
  std::function<bool(const HttpResult&)> is_from_process;

  bool IsTied() const { return connection != 0 || process.has_value(); }
};

struct ConnectionPoolOptions {
  // A longer body is a malformed answer.
  size_t max_answer_bytes = size_t{16} << 20;
  // If there are more lanes, idle connections are closed, and with them those to servers that no
  // longer exist.
  size_t max_lanes = 8192;
  // While calls and answers follow each other closely, they are collected for this long and handled
  // together, because each wake-up of the thread costs as much as a call.
  Duration coalescing = std::chrono::milliseconds(1);
  // Size of the buffer into which all connections read. A connection whose answer ends with a full
  // buffer carries no other request.
  size_t read_bytes = size_t{64} << 10;
};

// Differs from HttpClient in its cost: one thread serves all connections, and a call takes no timer
// and no task of its own. The headers of an answer are not kept.
class ConnectionPool {
 public:
  explicit ConnectionPool(const ConnectionPoolOptions& options = {});
  // Ends the open calls with an error. Must not be called on the pool's thread.
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Sends a request at most once, over an idle connection of the lane if there is one. `done` runs
  // exactly once, on the pool's thread, and must not block. Results are those of HttpResult; a
  // connection that can't be made in time and a request that can't be written as HTTP are
  // kTargetUnreachable. Redirects are passed to `done` like any other answer. Thread-safe.
  void Send(const ServerLane& lane, const HttpRequest& request, Duration timeout, HttpCallback done,
            const ConnectionTie& tie = {});

  // Ends the calls that wait for a connection with kTargetUnreachable. Closes the idle connections
  // now and the others after their answers. Thread-safe.
  void Disconnect();

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_CONNECTION_POOL_H_
