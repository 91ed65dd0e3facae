#include "base/json.h"

#include <set>
#include <string>
#include <vector>

#include "base/result_code.h"

namespace pomelopond {
namespace {

// SAX handler that only checks the nesting depth.
class DepthValidator : public nlohmann::json_sax<Json> {
 public:
  explicit DepthValidator(int max_depth) : max_depth_(max_depth) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= max_depth_; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return --depth_ >= 0; }
  bool start_array(std::size_t) override { return ++depth_ <= max_depth_; }
  bool end_array() override { return --depth_ >= 0; }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  int max_depth_;
  int depth_ = 0;
};

// Also rejects duplicate keys, and more values and keys than the limit.
class StructureValidator final : public DepthValidator {
 public:
  explicit StructureValidator(int64_t max_values)
      : DepthValidator(kMaxJsonDepth), left_(max_values) {}

  bool null() override { return Take(); }
  bool boolean(bool) override { return Take(); }
  bool number_integer(number_integer_t) override { return Take(); }
  bool number_unsigned(number_unsigned_t) override { return Take(); }
  bool number_float(number_float_t, const string_t&) override { return Take(); }
  bool string(string_t&) override { return Take(); }
  bool start_object(std::size_t size) override {
    keys_.emplace_back();
    return Take() && DepthValidator::start_object(size);
  }
  bool start_array(std::size_t size) override {
    return Take() && DepthValidator::start_array(size);
  }
  bool key(string_t& value) override { return Take() && keys_.back().insert(value).second; }
  bool end_object() override {
    keys_.pop_back();
    return DepthValidator::end_object();
  }

  bool has_too_many() const { return left_ < 0; }

 private:
  bool Take() { return --left_ >= 0; }

  int64_t left_;
  std::vector<std::set<std::string>> keys_;  // of each object that is open
};

}  // namespace

Result<Json> ParseJson(std::string_view text, int64_t max_values) {
  StructureValidator validator(max_values);
  if (!Json::sax_parse(text.begin(), text.end(), &validator)) {
    return {validator.has_too_many() ? ResultCode::kTooLarge : ResultCode::kBadJson, {}};
  }
  Json parsed = Json::parse(text.begin(), text.end(), nullptr, false);
  if (parsed.is_discarded()) return {ResultCode::kBadJson, {}};
  return {{}, std::move(parsed)};
}

Json ParseMessagePack(std::string_view bytes) {
  constexpr bool kToTheEnd = true;
  DepthValidator validator(kMaxMessagePackDepth);
  if (!Json::sax_parse(bytes.begin(), bytes.end(), &validator, Json::input_format_t::msgpack,
                       kToTheEnd)) {
    return Json(Json::value_t::discarded);
  }
  return Json::from_msgpack(bytes.begin(), bytes.end(), kToTheEnd, false);
}

}  // namespace pomelopond
