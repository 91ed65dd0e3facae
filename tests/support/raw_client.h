// Provides an HTTP client over a plain socket. It never retries by itself and can send malformed
// requests.
#ifndef POMELOPOND_TESTS_SUPPORT_RAW_CLIENT_H_
#define POMELOPOND_TESTS_SUPPORT_RAW_CLIENT_H_

#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "http/http_message.h"

namespace pomelopond::support {

// A client with one persistent connection. Not thread-safe.
class RawClient {
 public:
  explicit RawClient(const Endpoint& endpoint) : endpoint_(endpoint) {}
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  // Connects unless the existing connection is still open. Returns false if the server refused.
  bool Connect();
  void Close();

  // Writes to the connection of Connect(). Returns false if the connection failed.
  bool Write(const std::string& bytes);

  // Reads one answer with a Content-Length. Returns nullopt and closes the connection if it ended
  // before the answer or no byte arrived for `timeout`. Also closes it if the answer asks for that.
  std::optional<http::HttpResponse> Read(Duration timeout);

  // Connects, sends one well-formed request and reads its answer.
  std::optional<http::HttpResponse> Call(const http::HttpRequest& request, Duration timeout);

 private:
  const Endpoint endpoint_;
  int socket_ = -1;
  std::string unread_;  // bytes received after the last answer
};

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_RAW_CLIENT_H_
