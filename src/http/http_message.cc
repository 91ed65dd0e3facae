#include "http/http_message.h"

#include <strings.h>

#include <cstdlib>

namespace pomelopond::http {
namespace {

int HexDigit(char it) {
  if (it >= '0' && it <= '9') return it - '0';
  if (it >= 'a' && it <= 'f') return it - 'a' + 10;
  if (it >= 'A' && it <= 'F') return it - 'A' + 10;
  return -1;
}

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (size_t n = 0; n < text.size(); ++n) {
    const bool escape = text[n] == '%' && n + 2 < text.size() && HexDigit(text[n + 1]) >= 0 &&
                        HexDigit(text[n + 2]) >= 0;
    if (!escape) {
      out.push_back(text[n]);
      continue;
    }
    out.push_back(static_cast<char>(HexDigit(text[n + 1]) * 16 + HexDigit(text[n + 2])));
    n += 2;
  }
  return out;
}

}  // namespace

bool CaseInsensitiveLess::operator()(const std::string& a, const std::string& b) const {
  return strcasecmp(a.c_str(), b.c_str()) < 0;
}

std::string HeaderOf(const Headers& headers, const std::string& name) {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

std::string PathOf(const HttpRequest& request) {
  return request.path.substr(0, request.path.find('?'));
}

std::string QueryParameterOf(const HttpRequest& request, const std::string& name) {
  size_t from = request.path.find('?');
  while (from != std::string::npos) {
    const size_t end = request.path.find('&', from + 1);
    const std::string pair = request.path.substr(
        from + 1, end == std::string::npos ? std::string::npos : end - from - 1);
    const size_t equal = pair.find('=');
    if (pair.substr(0, equal) == name) {
      return equal == std::string::npos ? std::string() : PercentDecode(pair.substr(equal + 1));
    }
    from = end;
  }
  return {};
}

HttpResponse JsonResponse(int status, const Json& body) {
  HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

HttpResponse MetricsResponse(std::string text) {
  HttpResponse response;
  response.headers["Content-Type"] = "text/plain; version=0.0.4";
  response.body = std::move(text);
  return response;
}

HttpResponse ErrorResponse(ResultCode code, const std::string& text) {
  const char* outcome = OutcomeName(OutcomeOf(code));
  HttpResponse response = JsonResponse(HttpStatusOf(code), {{"code", static_cast<int>(code)},
                                                            {"result", ResultName(code)},
                                                            {"outcome", outcome},
                                                            {"text", text}});
  response.headers[kOutcomeHeader] = outcome;
  return response;
}

}  // namespace pomelopond::http
