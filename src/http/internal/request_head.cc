#include "http/internal/request_head.h"

#include <strings.h>

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <cstring>
#include <limits>

namespace pomelopond::http {
namespace {

namespace beast = boost::beast;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr size_t kResponseHeadBytes = 256;

// Collects a head. The parser of the library validates names, values and lengths.
class HeadParser : public beast::http::basic_parser<true> {
 public:
  HeadParser(int64_t max_fields, RequestHead* head) : max_fields_(max_fields), head_(head) {
    header_limit(std::numeric_limits<uint32_t>::max());
    body_limit(std::numeric_limits<uint64_t>::max());
  }

 private:
  using Text = beast::string_view;
  using Error = beast::error_code;

  void on_request_impl(beast::http::verb, Text method, Text target, int, Error& ec) override {
    ec = {};
    head_->request.method.assign(method.data(), method.size());
    head_->request.path.assign(target.data(), target.size());
  }
  void on_response_impl(int, Text, int, Error&) override {}
  void on_field_impl(beast::http::field, Text name, Text value, Error& ec) override {
    ec = {};
    head_->fields += 1;
    if (head_->fields > max_fields_) {
      ec = beast::http::error::header_limit;
      return;
    }
    std::string& known = head_->request.headers[name.to_string()];
    if (!known.empty()) known += ", ";
    known.append(value.data(), value.size());
  }
  void on_header_impl(Error& ec) override { ec = {}; }
  void on_body_init_impl(const boost::optional<uint64_t>&, Error& ec) override { ec = {}; }
  size_t on_body_impl(Text, Error& ec) override {
    ec = {};
    return 0;
  }
  void on_chunk_header_impl(uint64_t, Text, Error& ec) override { ec = {}; }
  size_t on_chunk_body_impl(uint64_t, Text, Error& ec) override {
    ec = {};
    return 0;
  }
  void on_finish_impl(Error& ec) override { ec = {}; }

  const int64_t max_fields_;
  RequestHead* const head_;
};

// A path that is forwarded must mean the same to each receiver.
bool IsPath(const std::string& text) {
  if (text.empty() || text[0] != '/') return false;
  for (size_t n = 0; n < text.size(); ++n) {
    const auto it = static_cast<unsigned char>(text[n]);
    if (it <= ' ' || it >= 127 || std::strchr("\"#<>\\^`{|}", it) != nullptr) return false;
    if (it != '%') continue;
    const bool is_escape = n + 2 < text.size() &&
                           std::isxdigit(static_cast<unsigned char>(text[n + 1])) != 0 &&
                           std::isxdigit(static_cast<unsigned char>(text[n + 2])) != 0;
    if (!is_escape) return false;
  }
  return true;
}

// A forwarded header that contains a line feed would reach a target as two headers or two requests.
bool HasControlCharacters(const std::string& text) {
  return std::any_of(text.begin(), text.end(),
                     [](unsigned char it) { return (it < 32 && it != '\t') || it == 127; });
}

bool IsDigits(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

std::error_code CheckHead(const HttpRequest& request) {
  if (!IsPath(request.path)) return ResultCode::kBadField;
  for (const auto& [name, value] : request.headers) {
    if (HasControlCharacters(value)) return ResultCode::kBadField;
  }
  if (request.headers.count("Transfer-Encoding") != 0) return ResultCode::kLengthRequired;
  const auto length = request.headers.find("Content-Length");
  const bool is_bad = length != request.headers.end() && !IsDigits(length->second);
  return is_bad ? ResultCode::kBadField : std::error_code();
}

void AppendField(std::string* out, std::string_view name, std::string_view value) {
  out->append(name).append(": ").append(value).append("\r\n");
}

// Fields that the server writes itself.
bool IsOwnField(const std::string& name, bool close_connection) {
  return strcasecmp(name.c_str(), "Content-Length") == 0 ||
         strcasecmp(name.c_str(), "Transfer-Encoding") == 0 ||
         strcasecmp(name.c_str(), kRequestIdHeader) == 0 ||
         (close_connection && strcasecmp(name.c_str(), "Connection") == 0);
}

}  // namespace

size_t FindHeadEnd(std::string_view bytes, size_t searched) {
  const size_t from = searched < kHeadEnd.size() ? 0 : searched - kHeadEnd.size() + 1;
  const size_t at = bytes.find(kHeadEnd, from);
  return at == std::string_view::npos ? at : at + kHeadEnd.size();
}

std::error_code ParseHead(std::string_view bytes, int64_t max_fields, RequestHead* head) {
  HeadParser parser(max_fields, head);
  beast::error_code ec;
  parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
  if (ec == beast::http::error::header_limit) return ResultCode::kHeaderTooLarge;
  const bool is_whole = !ec && parser.is_header_done();
  // The library's parser refuses a message with two ways to tell its length.
  const bool has_two_lengths = ec == beast::http::error::bad_transfer_encoding ||
                               (ec == beast::http::error::bad_content_length &&
                                head->request.headers.count("Transfer-Encoding") != 0);
  if (has_two_lengths) return ResultCode::kLengthRequired;
  if (!is_whole) return ResultCode::kBadField;
  if (const std::error_code fault = CheckHead(head->request)) return fault;
  head->body_bytes = parser.content_length().value_or(0);
  head->keeps_connection = parser.keep_alive();
  head->expects_continue =
      strcasecmp(HeaderOf(head->request.headers, "Expect").c_str(), "100-continue") == 0;
  return {};
}

std::string ResponseBytes(const HttpResponse& response, const std::string& echoed_id,
                          bool close_connection, bool without_body) {
  std::string out;
  out.reserve(kResponseHeadBytes + response.body.size());
  out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  const auto reason = beast::http::obsolete_reason(
      beast::http::int_to_status(static_cast<unsigned>(response.status)));
  out.append(reason.data(), reason.size()).append("\r\n");
  for (const auto& [name, value] : response.headers) {
    if (!IsOwnField(name, close_connection)) AppendField(&out, name, value);
  }
  if (response.headers.count("Content-Type") == 0) {
    AppendField(&out, "Content-Type", "application/octet-stream");
  }
  AppendField(&out, "Content-Length", std::to_string(response.body.size()));
  if (close_connection) AppendField(&out, "Connection", "close");
  if (!echoed_id.empty()) AppendField(&out, kRequestIdHeader, echoed_id);
  out.append("\r\n");
  if (!without_body) out.append(response.body);
  return out;
}

}  // namespace pomelopond::http
