#include "base/json_reader.h"

#include <limits>

namespace pomelopond {
namespace {

const Json& EmptyObject() {
  static const Json empty = Json::object();
  return empty;
}

const Json& EmptyArray() {
  static const Json empty = Json::array();
  return empty;
}

}  // namespace

std::string ToString(const FieldErrors& errors) {
  std::string text;
  for (const FieldError& it : errors) {
    text += it.path + ": " + it.text + " (" + ResultName(it.code) + ")\n";
  }
  return text;
}

Json ToJson(const FieldErrors& errors) {
  Json list = Json::array();
  for (const FieldError& it : errors) {
    list.push_back({{"path", it.path},
                    {"code", static_cast<int>(it.code)},
                    {"result", ResultName(it.code)},
                    {"text", it.text}});
  }
  return list;
}

JsonReader::JsonReader(const Json& object, std::string path, FieldErrors* errors)
    : object_(object.is_object() ? object : EmptyObject()),
      path_(std::move(path)),
      errors_(errors) {
  if (!object.is_object()) {
    errors_->push_back({path_.empty() ? "$" : path_, ResultCode::kBadField, "must be an object"});
  }
}

std::string JsonReader::PathOf(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void JsonReader::Fail(const std::string& key, ResultCode code, const std::string& text) {
  errors_->push_back({PathOf(key), code, text});
}

const Json* JsonReader::Get(const std::string& key, bool required) {
  read_keys_.insert(key);
  const auto it = object_.find(key);
  if (it != object_.end()) return &*it;
  if (required) Fail(key, ResultCode::kBadField, "is required");
  return nullptr;
}

bool JsonReader::Has(const std::string& key) { return Get(key, false) != nullptr; }

std::string JsonReader::String(const std::string& key) {
  const Json* value = Get(key, true);
  if (value == nullptr) return {};
  if (value->is_string() && !value->get_ref<const std::string&>().empty()) {
    return value->get<std::string>();
  }
  Fail(key, ResultCode::kBadField, "must be a string that is not empty");
  return {};
}

std::string JsonReader::StringOr(const std::string& key, const std::string& fallback) {
  return Get(key, false) == nullptr ? fallback : String(key);
}

int64_t JsonReader::IntInRange(const std::string& key, const Json& value, int64_t min, int64_t max,
                               int64_t fallback) {
  const bool too_big = value.is_number_unsigned() &&
                       value.get<uint64_t>() > uint64_t{std::numeric_limits<int64_t>::max()};
  if (value.is_number_integer() && !too_big) {
    const int64_t n = value.get<int64_t>();
    if (n >= min && n <= max) return n;
  }
  Fail(key, ResultCode::kBadField,
       "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
  return fallback;
}

int64_t JsonReader::Int(const std::string& key, int64_t min, int64_t max) {
  const Json* value = Get(key, true);
  return value == nullptr ? min : IntInRange(key, *value, min, max, min);
}

int64_t JsonReader::IntOr(const std::string& key, int64_t min, int64_t max, int64_t fallback) {
  const Json* value = Get(key, false);
  return value == nullptr ? fallback : IntInRange(key, *value, min, max, fallback);
}

double JsonReader::NumberOr(const std::string& key, double min, double max, double fallback) {
  const Json* value = Get(key, false);
  if (value == nullptr) return fallback;
  if (value->is_number()) {
    const double n = value->get<double>();
    if (n >= min && n <= max) return n;
  }
  Fail(key, ResultCode::kBadField,
       "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
  return fallback;
}

bool JsonReader::BoolOr(const std::string& key, bool fallback) {
  const Json* value = Get(key, false);
  if (value == nullptr) return fallback;
  if (value->is_boolean()) return value->get<bool>();
  Fail(key, ResultCode::kBadField, "must be true or false");
  return fallback;
}

Endpoint JsonReader::EndpointOf(const std::string& key) {
  const Json* value = Get(key, true);
  if (value == nullptr) return {};
  if (value->is_string()) {
    const Result<Endpoint> parsed = ParseEndpoint(value->get_ref<const std::string&>());
    if (parsed.ok()) return parsed.value;
  }
  Fail(key, ResultCode::kBadEndpoint, "must be an IP address and port, such as 10.0.0.1:8080");
  return {};
}

const Json& JsonReader::ObjectOr(const std::string& key) {
  const Json* value = Get(key, false);
  if (value == nullptr) return EmptyObject();
  if (value->is_object()) return *value;
  Fail(key, ResultCode::kBadField, "must be an object");
  return EmptyObject();
}

const Json& JsonReader::Object(const std::string& key) {
  return Get(key, true) == nullptr ? EmptyObject() : ObjectOr(key);
}

const Json& JsonReader::ArrayOr(const std::string& key) {
  const Json* value = Get(key, false);
  if (value == nullptr) return EmptyArray();
  if (value->is_array()) return *value;
  Fail(key, ResultCode::kBadField, "must be an array");
  return EmptyArray();
}

void JsonReader::Finish() {
  for (const auto& it : object_.items()) {
    if (read_keys_.count(it.key()) != 0) continue;
    Fail(it.key(), ResultCode::kUnknownField, "is not a known member");
  }
}

}  // namespace pomelopond
