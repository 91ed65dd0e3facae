// HTTP client over a plain socket: it repeats nothing by itself and can send malformed requests.
#ifndef POMELOPOND_TESTS_SUPPORT_RAW_CLIENT_H_
#define POMELOPOND_TESTS_SUPPORT_RAW_CLIENT_H_

#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_message.h"

namespace pomelopond::support {

// One kept-alive connection. Not thread-safe.
class RawClient {
 public:
  explicit RawClient(const Endpoint& endpoint) : endpoint_(endpoint) {}
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  // Connects unless an open connection exists that the server has not closed. False when refused.
  bool Connect();
  void Close();

  // False when the connection broke. Uses the connection of Connect().
  bool Write(const std::string& bytes);

  // Reads one answer with a Content-Length; empty when the connection ended first or `timeout` has
  // passed since the last byte. Closes the connection then, or when the answer says so.
  std::optional<http::HttpResponse> Read(Duration timeout);

  // Connect(), Write() and Read() of one well-formed request.
  std::optional<http::HttpResponse> Call(const http::HttpRequest& request, Duration timeout);

 private:
  const Endpoint endpoint_;
  int socket_ = -1;
  std::string unread_;  // read beyond the last answer
};

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_RAW_CLIENT_H_
