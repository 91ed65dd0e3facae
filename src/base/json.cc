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

// Also rejects duplicate keys.
class StructureValidator final : public DepthValidator {
 public:
  StructureValidator() : DepthValidator(kMaxJsonDepth) {}

  bool start_object(std::size_t size) override {
    keys_.emplace_back();
    return DepthValidator::start_object(size);
  }
  bool key(string_t& value) override { return keys_.back().insert(value).second; }
  bool end_object() override {
    keys_.pop_back();
    return DepthValidator::end_object();
  }

 private:
  std::vector<std::set<std::string>> keys_;  // of each object that is open
};

}  // namespace

Result<Json> ParseJson(std::string_view text) {
  StructureValidator validator;
  if (!Json::sax_parse(text.begin(), text.end(), &validator)) return {ResultCode::kBadJson, {}};
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
