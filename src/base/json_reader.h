// Reads typed members of a JSON object and collects every error with its path.
#ifndef POMELOPOND_BASE_JSON_READER_H_
#define POMELOPOND_BASE_JSON_READER_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/json.h"
#include "base/result_code.h"

namespace pomelopond {

// One error in an input document.
struct FieldError {
  std::string path;  // for example "services.quotes.slots"
  ResultCode code = ResultCode::kBadField;
  std::string text;

  friend bool operator==(const FieldError& a, const FieldError& b) {
    return a.path == b.path && a.code == b.code && a.text == b.text;
  }
};

using FieldErrors = std::vector<FieldError>;

// Formats errors as one line each: "path: text (code)".
std::string ToString(const FieldErrors& errors);
Json ToJson(const FieldErrors& errors);

// Reads one object. Members that no call asked for are reported by Finish() as kUnknownField.
class JsonReader {
 public:
  // `errors` must outlive the reader.
  JsonReader(const Json& object, std::string path, FieldErrors* errors);

  bool Has(const std::string& key);
  std::string String(const std::string& key);
  std::string StringOr(const std::string& key, const std::string& fallback);
  int64_t Int(const std::string& key, int64_t min, int64_t max);
  int64_t IntOr(const std::string& key, int64_t min, int64_t max, int64_t fallback);
  double NumberOr(const std::string& key, double min, double max, double fallback);
  bool BoolOr(const std::string& key, bool fallback);
  Endpoint EndpointOf(const std::string& key);
  // The member, or a shared empty object or array when it is absent; wrong types are errors.
  const Json& ObjectOr(const std::string& key);
  const Json& ArrayOr(const std::string& key);
  const Json& Object(const std::string& key);

  // Reports the members that were not read.
  void Finish();
  void Fail(const std::string& key, ResultCode code, const std::string& text);
  std::string PathOf(const std::string& key) const;

 private:
  const Json* Get(const std::string& key, bool required);
  int64_t IntInRange(const std::string& key, const Json& value, int64_t min, int64_t max,
                     int64_t fallback);

  const Json& object_;
  std::string path_;
  FieldErrors* errors_;
  std::set<std::string> read_keys_;
};

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_JSON_READER_H_
