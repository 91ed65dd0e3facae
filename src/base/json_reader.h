// Reads typed members of JSON objects and collects all errors with their paths.
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

// An error in one member of an input document.
struct FieldError {
  std::string path;  // path of the member, for example "services.quotes.slots"
  ResultCode code = ResultCode::kBadField;
  std::string text;

  friend bool operator==(const FieldError& a, const FieldError& b) {
    return a.path == b.path && a.code == b.code && a.text == b.text;
  }
};

using FieldErrors = std::vector<FieldError>;

// Formats each error as one line: "path: text (code)".
std::string ToString(const FieldErrors& errors);
Json ToJson(const FieldErrors& errors);

// Reads one object. Functions whose name ends in "Or" accept an absent member; the other readers
// report it as an error. Finish() reports members that were not read as kUnknownField.
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
  // These return a reference to the member, or to a shared empty object or array if the member is
  // absent or has the wrong type. A wrong type is an error.
  const Json& ObjectOr(const std::string& key);
  const Json& ArrayOr(const std::string& key);
  const Json& Object(const std::string& key);

  // Reports the members that were not read.
  void Finish();
  // Adds an error for the member `key`.
  void Fail(const std::string& key, ResultCode code, const std::string& text);
  // Returns the path of the member `key` in the document.
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
