#include "base/integer.h"

#include <cmath>
#include <limits>
#include <string>

namespace pomelopond {
namespace {

// nlohmann-json's own id for a value out of range.
constexpr int kOutOfRangeId = 401;

template <class T>
[[noreturn]] void ThrowOutOfRange(const Json& value, std::string_view name, const char* kind, T min,
                                  T max) {
  throw Json::out_of_range::create(kOutOfRangeId,
                                   std::string(name) + " must be a " + kind + " from " +
                                       std::to_string(min) + " to " + std::to_string(max),
                                   &value);
}

bool HasFraction(const Json& value) {
  return value.is_number_float() && value.get<double>() != std::trunc(value.get<double>());
}

}  // namespace

std::optional<int64_t> IntegerIn(const Json& value, int64_t min, int64_t max) {
  // 2^63, the first double above the range of int64_t.
  constexpr double kEnd = 9223372036854775808.0;
  int64_t n = 0;
  if (value.is_number_float()) {
    const double whole = std::trunc(value.get<double>());
    if (!(whole >= -kEnd && whole < kEnd)) return std::nullopt;
    n = static_cast<int64_t>(whole);
  } else if (value.is_number_unsigned()) {
    const auto wide = value.get<uint64_t>();
    if (wide > uint64_t{std::numeric_limits<int64_t>::max()}) return std::nullopt;
    n = static_cast<int64_t>(wide);
  } else if (value.is_number_integer()) {
    n = value.get<int64_t>();
  } else {
    return std::nullopt;
  }
  if (n < min || n > max) return std::nullopt;
  return n;
}

int64_t RequireInteger(const Json& value, std::string_view name, int64_t min, int64_t max) {
  const std::optional<int64_t> n = IntegerIn(value, min, max);
  if (!n) ThrowOutOfRange(value, name, "number", min, max);
  return *n;
}

int64_t RequireWholeNumber(const Json& value, std::string_view name, int64_t min, int64_t max) {
  const std::optional<int64_t> n = IntegerIn(value, min, max);
  if (!n || HasFraction(value)) ThrowOutOfRange(value, name, "whole number", min, max);
  return *n;
}

double RequireNumber(const Json& value, std::string_view name, double min, double max) {
  // Not-a-number fails both comparisons.
  if (value.is_number() && value.get<double>() >= min && value.get<double>() <= max) {
    return value.get<double>();
  }
  ThrowOutOfRange(value, name, "number", min, max);
}

}  // namespace pomelopond
