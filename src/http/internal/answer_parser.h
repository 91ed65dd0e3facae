// Incremental parser of one HTTP answer.
#ifndef POMELOPOND_HTTP_INTERNAL_ANSWER_PARSER_H_
#define POMELOPOND_HTTP_INTERNAL_ANSWER_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <string>
#include <string_view>

#include "http/http_message.h"

namespace pomelopond::http {

enum class AnswerState { kIncomplete, kComplete, kMalformed };

// Keeps the status and the body. An answer is malformed if its end can't be determined without the
// end of the connection, if its body exceeds the limit, or if it is an interim one (1xx), which no
// request asks for.
class AnswerParser : private boost::beast::http::basic_parser<false> {
 public:
  explicit AnswerParser(size_t max_body_bytes);

  // Takes the next bytes of the connection. Must not be called after another result than
  // kIncomplete.
  AnswerState Read(std::string_view bytes);

  // Requires a complete answer. Returns false if the connection must not carry another request: the
  // server closes it, or bytes follow the answer.
  bool KeepsConnection() const { return keep_alive() && !has_excess_; }

  HttpResponse TakeResponse() { return std::move(response_); }

 private:
  using Text = boost::beast::string_view;
  using Error = boost::beast::error_code;

  AnswerState Parse(std::string_view bytes, size_t* used);

  void on_request_impl(boost::beast::http::verb, Text, Text, int, Error&) override {}
  void on_response_impl(int status, Text, int, Error&) override { response_.status = status; }
  void on_field_impl(boost::beast::http::field, Text, Text, Error&) override {}
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<uint64_t>& length, Error&) override;
  size_t on_body_impl(Text body, Error&) override;
  void on_chunk_header_impl(uint64_t, Text, Error&) override {}
  size_t on_chunk_body_impl(uint64_t, Text body, Error&) override;
  void on_finish_impl(Error&) override {}

  const size_t max_body_bytes_;
  HttpResponse response_;
  std::string unparsed_;  // bytes of an element that is not complete
  bool has_excess_ = false;
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_INTERNAL_ANSWER_PARSER_H_
