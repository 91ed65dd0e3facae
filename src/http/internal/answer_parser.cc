#include "http/internal/answer_parser.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>

namespace pomelopond::http {
namespace {

// Memory that is reserved for a body before it has arrived.
constexpr uint64_t kMaxReservedBytes = uint64_t{64} * 1024;
constexpr int kFirstFinalStatus = 200;

}  // namespace

AnswerParser::AnswerParser(size_t max_body_bytes) {
  response_.status = 0;
  eager(true);
  body_limit(max_body_bytes);
}

AnswerState AnswerParser::Read(std::string_view bytes) {
  size_t used = 0;
  if (unparsed_.empty()) {
    const AnswerState state = Parse(bytes, &used);
    unparsed_.assign(bytes.substr(used));
    return state;
  }
  unparsed_.append(bytes);
  const AnswerState state = Parse(unparsed_, &used);
  unparsed_.erase(0, used);
  return state;
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
  if (length) response_.body.reserve(std::min(*length, kMaxReservedBytes));
}

size_t AnswerParser::on_body_impl(Text body, Error& ec) {
  ec = {};
  response_.body.append(body.data(), body.size());
  return body.size();
}

size_t AnswerParser::on_chunk_body_impl(uint64_t, Text body, Error& ec) {
  return on_body_impl(body, ec);
}

}  // namespace pomelopond::http
