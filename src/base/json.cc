#include "base/json.h"

#include <set>
#include <string>
#include <vector>

#include "base/result_code.h"

namespace pomelopond {
namespace {

// SAX handler that only checks the nesting depth and rejects duplicate keys.
class StructureValidator final : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Push(); }
  bool key(string_t& value) override { return keys_.back().insert(value).second; }
  bool end_object() override { return Pop(); }
  bool start_array(std::size_t) override { return Push(); }
  bool end_array() override { return Pop(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Push() {
    keys_.emplace_back();
    return keys_.size() <= static_cast<size_t>(kMaxJsonDepth);
  }
  bool Pop() {
    keys_.pop_back();
    return true;
  }

  std::vector<std::set<std::string>> keys_;
};

}  // namespace

Result<Json> ParseJson(std::string_view text) {
  StructureValidator validator;
  if (!Json::sax_parse(text.begin(), text.end(), &validator)) return {ResultCode::kBadJson, {}};
  Json parsed = Json::parse(text.begin(), text.end(), nullptr, false);
  if (parsed.is_discarded()) return {ResultCode::kBadJson, {}};
  return {{}, std::move(parsed)};
}

}  // namespace pomelopond
