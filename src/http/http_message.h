// HTTP requests and responses as plain values.
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
// Names a request on its connection; a server that repeats it in the answer allows reuse of the
// connection, see HttpClient.
inline constexpr const char* kRequestIdHeader = "Pomelopond-Request";

struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";  // with the query, percent-encoded
  Headers headers;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  Headers headers;
  std::string body;
};

// The value of a header, or an empty string.
std::string HeaderOf(const Headers& headers, const std::string& name);

// The path without the query.
std::string PathOf(const HttpRequest& request);
// A query parameter, percent-decoded, or an empty string.
std::string QueryParameterOf(const HttpRequest& request, const std::string& name);

HttpResponse JsonResponse(int status, const Json& body);
// The text exposition format of metrics.
HttpResponse MetricsResponse(std::string text);
// An error body {"code", "result", "outcome", "text"} with the code's HTTP status.
HttpResponse ErrorResponse(ResultCode code, const std::string& text);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_HTTP_MESSAGE_H_
