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

using HttpCallback = std::function<void(HttpResult)>;

// When a kept-alive connection may carry another request.
enum class ConnectionReuse {
  // After a whole answer, while nothing further has arrived. A doubled answer that arrives after
  // the
  // next request was sent would be taken for its answer.
  kWhenIdle,
  // Only if, besides, the answer repeats the request's kRequestIdHeader. An answer that names
  // another
  // request is an error. For servers that are not trusted to answer each request once.
  kWhenRequestIdEchoed,
};

class HttpClient {
 public:
  explicit HttpClient(const Endpoint& endpoint, ConnectionReuse reuse = ConnectionReuse::kWhenIdle);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends over a pooled connection. The library beneath sends a request again when a pooled
  // connection turns out to be closed, so this is for idempotent requests only. `done` runs once,
  // on a pool thread.
  void Send(HttpRequest request, Duration timeout, HttpCallback done);

  // Sends over a connection of its own that is closed afterwards: at most one send. Redirects are
  // answers like any other, here and in Send().
  void SendOnce(HttpRequest request, Duration timeout, HttpCallback done);

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
