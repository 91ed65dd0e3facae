#include "base/integer.h"

#include <cmath>
#include <limits>

namespace pomelopond {

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

}  // namespace pomelopond
