#include "http/internal/answer_parser.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace pomelopond::http {
namespace {

// Memory that is reserved for a body before it has arrived.
constexpr uint64_t kMaxReservedBytes = uint64_t{64} * 1024;
constexpr int kFirstFinalStatus = 200;
// Longest header of a chunk, with its extensions, or trailer.
constexpr size_t kMaxUnparsedBytes = size_t{16} * 1024;

}  // namespace

// Beast's own limit doesn't hold in the eager mode, which goes on after its error.
AnswerParser::AnswerParser(size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {
  response_.status = 0;
  eager(true);
  body_limit(std::numeric_limits<uint64_t>::max());
}

AnswerState AnswerParser::Read(std::string_view bytes) {
  size_t used = 0;
  AnswerState state = AnswerState::kIncomplete;
  if (unparsed_.empty()) {
    state = Parse(bytes, &used);
    unparsed_.assign(bytes.substr(used));
  } else {
    unparsed_.append(bytes);
    state = Parse(unparsed_, &used);
    unparsed_.erase(0, used);
  }
  const bool is_too_long =
      state == AnswerState::kIncomplete && unparsed_.size() > kMaxUnparsedBytes;
  return is_too_long ? AnswerState::kMalformed : state;
}

AnswerState AnswerParser::Parse(std::string_view bytes, size_t* used) {
  Error ec;
  *used = put(boost::asio::const_buffer(bytes.data(), bytes.size()), ec);
  if (ec && ec != boost::beast::http::error::need_more) return AnswerState::kMalformed;
  const bool is_interim = response_.status < kFirstFinalStatus;
  if (is_header_done() && (need_eof() || is_interim)) return AnswerState::kMalformed;
  if (!is_done()) return AnswerState::kIncomplete;
  has_excess_ = *used < bytes.size();
  return AnswerState::kComplete;
}

void AnswerParser::on_body_init_impl(const boost::optional<uint64_t>& length, Error& ec) {
  ec = {};
  if (!length) return;
  if (*length > max_body_bytes_) ec = boost::beast::http::error::body_limit;
  response_.body.reserve(std::min(*length, kMaxReservedBytes));
}

size_t AnswerParser::on_body_impl(Text body, Error& ec) {
  ec = {};
  if (body.size() > max_body_bytes_ - response_.body.size()) {
    ec = boost::beast::http::error::body_limit;
    return 0;
  }
  response_.body.append(body.data(), body.size());
  return body.size();
}

size_t AnswerParser::on_chunk_body_impl(uint64_t, Text body, Error& ec) {
  return on_body_impl(body, ec);
}

}  // namespace pomelopond::http
