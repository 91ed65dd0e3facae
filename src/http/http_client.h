// HTTP client of one server.
#ifndef POMELOPOND_HTTP_HTTP_CLIENT_H_
#define POMELOPOND_HTTP_HTTP_CLIENT_H_

#include <functional>
#include <memory>

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_message.h"

namespace pomelopond::http {

// How a call ended. With `ec` clear the response is complete to its last byte.
// kTargetUnreachable: no connection, nothing was sent. kTimeout: the time ran out.
// kTruncatedAnswer: the connection ended before the answer was whole, or the answer is malformed.
struct HttpResult {
  std::error_code ec;
  HttpResponse response;
};

using HttpDone = std::function<void(HttpResult)>;

class HttpClient {
 public:
  explicit HttpClient(const Endpoint& endpoint);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends over a pooled connection. The library beneath sends a request again when a pooled
  // connection turns out to be closed, so this is for idempotent requests only. A connection is
  // reused only after a whole answer and while nothing further has arrived on it. Bytes that arrive
  // after the next request was sent cannot be told from its answer. `done` runs once, on a pool
  // thread.
  void Send(HttpRequest request, Duration timeout, HttpDone done);

  // Sends over a connection of its own that is closed afterwards: at most one send. Redirects are
  // answers like any other, here and in Send().
  void SendOnce(HttpRequest request, Duration timeout, HttpDone done);

  // Send() that waits. Must not be called on a pool thread, where it could deadlock the pool.
  HttpResult Call(HttpRequest request, Duration timeout);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// Runs `done` on a pool thread after `delay`.
void RunAfter(Duration delay, std::function<void()> done);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_HTTP_CLIENT_H_
