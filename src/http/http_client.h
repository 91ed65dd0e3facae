// Asynchronous HTTP client for one server.
#ifndef POMELOPOND_HTTP_HTTP_CLIENT_H_
#define POMELOPOND_HTTP_HTTP_CLIENT_H_

#include <functional>
#include <memory>

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_message.h"

namespace pomelopond::http {

// The result of a call. Errors: kTargetUnreachable if the request was not sent, because no
// connection could be made or, in a ConnectionPool, none was free in time; kTimeout if the timeout
// expired; and kTruncatedAnswer if the connection ended before the answer was complete or the
// answer is malformed. After the last two, the server may have handled the request.
struct HttpResult {
  std::error_code ec;  // clear if the response is complete to its last byte
  HttpResponse response;
  Duration queued{};  // time that the call of a ConnectionPool waited for a connection
  Duration took{};    // time from the call to its result, with the wait
  // Number of the connection of a ConnectionPool that carried the request; 0: none.
  uint64_t connection = 0;
  // ConnectionTie::other_request was sent in place of the request. The request was not.
  bool sent_other = false;
};

using HttpCallback = std::function<void(HttpResult)>;

// Condition under which a keep-alive connection carries another request.
enum class ConnectionReuse {
  // The last answer was complete, and no further bytes have arrived. A duplicate answer that
  // arrives after the next request was sent is taken for the answer to that request.
  kWhenIdle,
  // In addition, the last answer echoed the kRequestIdHeader of its request. An answer with the id
  // of another request is an error. For servers that may not answer each request exactly once.
  kWhenRequestIdEchoed,
};

struct HttpClientOptions {
  ConnectionReuse reuse = ConnectionReuse::kWhenIdle;
};

class HttpClient {
 public:
  explicit HttpClient(const Endpoint& endpoint, const HttpClientOptions& options = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request, over a pooled connection if there is one. The request is sent at most once: a
  // pooled connection that turns out to be closed is an error. `done` runs exactly once, on a pool
  // thread. Redirects are passed to it like any other answer.
  void Send(HttpRequest request, Duration timeout, HttpCallback done);

  // Sends a request like Send(), but over a new connection that is closed afterwards. A server that
  // closes idle connections cannot make such a call fail.
  void SendOnce(HttpRequest request, Duration timeout, HttpCallback done);

  // Calls Send() and waits for the result. Must not be called on a pool thread, where it could
  // deadlock the pool.
  HttpResult Call(HttpRequest request, Duration timeout);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// Runs `done` on a pool thread after `delay`.
void RunAfter(Duration delay, std::function<void()> done);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_HTTP_CLIENT_H_
