// Parser of the head of a request, and writer of the head of a response.
#ifndef POMELOPOND_HTTP_INTERNAL_REQUEST_HEAD_H_
#define POMELOPOND_HTTP_INTERNAL_REQUEST_HEAD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "http/http_message.h"

namespace pomelopond::http {

struct RequestHead {
  HttpRequest request;  // without its body
  int64_t fields = 0;
  uint64_t body_bytes = 0;  // as announced
  bool keeps_connection = true;
  bool expects_continue = false;
};

// Returns the length of the head that `bytes` begin with, its empty line included, or npos if it is
// not complete. The first `searched` bytes are known to contain no end.
size_t FindHeadEnd(std::string_view bytes, size_t searched);

// Parses a complete head. Fails with kBadField if it is malformed, kHeaderTooLarge if it has more
// than `max_fields` fields, and kLengthRequired if the length of the body is not announced. The
// request id, if any, is valid also for the first and the last failure.
std::error_code ParseHead(std::string_view bytes, int64_t max_fields, RequestHead* head);

// Returns the bytes of a response. `echoed_id` is the request id, empty if there is none.
std::string ResponseBytes(const HttpResponse& response, const std::string& echoed_id,
                          bool close_connection, bool without_body);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_INTERNAL_REQUEST_HEAD_H_
