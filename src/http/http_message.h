// HTTP requests and responses as plain values, the names of headers, and helpers for both.
#ifndef POMELOPOND_HTTP_HTTP_MESSAGE_H_
#define POMELOPOND_HTTP_HTTP_MESSAGE_H_

#include <map>
#include <string>
#include <system_error>

#include "base/json.h"
#include "base/result_code.h"

namespace pomelopond::http {

struct CaseInsensitiveLess {
  bool operator()(const std::string& a, const std::string& b) const;
};

using Headers = std::map<std::string, std::string, CaseInsensitiveLess>;

inline constexpr const char* kOutcomeHeader = "Pomelopond-Outcome";
inline constexpr const char* kTokenHeader = "Pomelopond-Token";
inline constexpr const char* kLeavingHeader = "Pomelopond-Leaving";
inline constexpr const char* kForwardedHeader = "Pomelopond-Forwarded";
inline constexpr const char* kCallerHeader = "Pomelopond-Caller";
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr const char* kTimeoutHeader = "Request-Timeout-Ms";
// Identifies a request on its connection. A server that echoes the header in its answer allows
// reuse of the connection; see ConnectionReuse.
inline constexpr const char* kRequestIdHeader = "Pomelopond-Request";

struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";  // path and query, percent-encoded
  Headers headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  Headers headers;
  std::string body;
};

// Returns the value of a header, or an empty string if it is absent.
std::string HeaderOf(const Headers& headers, const std::string& name);

// Returns the path without the query.
std::string PathOf(const HttpRequest& request);
// Returns a query parameter, percent-decoded, or an empty string if it is absent.
std::string QueryParameterOf(const HttpRequest& request, const std::string& name);

HttpResponse JsonResponse(int status, const Json& body);
// Returns a response with metrics in the text exposition format.
HttpResponse MetricsResponse(std::string text);
// Returns a response with the HTTP status of `code` and the body {"code", "result", "outcome",
// "text"}.
HttpResponse ErrorResponse(ResultCode code, const std::string& text);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_HTTP_MESSAGE_H_
