// HTTP server on one address.
#ifndef POMELOPOND_HTTP_HTTP_SERVER_H_
#define POMELOPOND_HTTP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_message.h"

namespace pomelopond::http {

// Sends the one response of a request; later calls are ignored. May be called from any thread.
using Reply = std::function<void(HttpResponse)>;

// Called on a thread of the pool; must not block. It answers through `reply`, now or later.
using Handler = std::function<void(HttpRequest, Reply)>;

// Sets the number of pool threads of the whole process. Call it before any other use of this
// library, since the library beneath starts 40 threads otherwise.
void InitThreadPool(int n);

class HttpServer {
 public:
  // Requests with a body above `max_body_bytes` get kTooLarge; bodies without a Content-Length get
  // kLengthRequired, since their size cannot be bounded before they are read.
  HttpServer(const Endpoint& endpoint, int64_t max_body_bytes, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens; fails with kBadEndpoint when the address cannot be bound.
  std::error_code Start();

  // Requests whose response has not been written to the last byte.
  int64_t InFlight() const;

  // From now on each response closes its connection, so that callers open the next one elsewhere.
  void BeginStop();

  // BeginStop(), waits until no request is in flight and none has arrived for a moment, or until
  // `timeout` has passed, then stops listening and closes idle connections. Returns the number of
  // requests still in flight.
  int64_t Stop(Duration timeout);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_HTTP_SERVER_H_
