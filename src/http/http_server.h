// Asynchronous HTTP server that listens on one address.
#ifndef POMELOPOND_HTTP_HTTP_SERVER_H_
#define POMELOPOND_HTTP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_message.h"
#include "http/server_limits.h"

namespace pomelopond::http {

// Sends the response to a request. The first call counts; later calls are ignored. May be called
// from any thread. Does nothing after the server is destroyed.
using Reply = std::function<void(HttpResponse)>;

// Handles a request. Runs on a pool thread; a server calls it for one request at a time. It must
// not block. It responds through the Reply, before or after it returns.
using Handler = std::function<void(HttpRequest, Reply)>;

class HttpServer {
 public:
  // Requests with a body larger than `max_body_bytes` get kTooLarge. Bodies without a
  // Content-Length get kLengthRequired, because their size cannot be bounded before they are read.
  HttpServer(const Endpoint& endpoint, int64_t max_body_bytes, Handler handler);
  HttpServer(const Endpoint& endpoint, const ServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen. Fails with kBadEndpoint if the address cannot be bound.
  std::error_code Start();

  // Replaces the limits. The timeouts also apply to requests in progress.
  void SetLimits(const ServerLimits& limits);

  ServerUsage Usage() const;

  // Returns the number of requests whose response has not been written to the last byte.
  int64_t InFlight() const;

  // Makes each later response close its connection, so that callers connect to another host for the
  // next request.
  void BeginStop();

  // Calls BeginStop() and waits until no request is in flight and none has arrived for a short
  // time, or until `timeout` has passed. Then stops listening and closes idle connections. Returns
  // the number of requests still in flight.
  int64_t Stop(Duration timeout);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_HTTP_SERVER_H_
