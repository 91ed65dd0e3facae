// Checked conversion of JSON numbers to integers.
#ifndef POMELOPOND_BASE_INTEGER_H_
#define POMELOPOND_BASE_INTEGER_H_

#include <cstdint>
#include <optional>

#include "base/json.h"

namespace pomelopond {

// Returns the number without its fraction, or nothing if `value` is not a number from `min` to
// `max`. `get<int64_t>()` wraps integers and has no defined result for a float out of range.
std::optional<int64_t> IntegerIn(const Json& value, int64_t min, int64_t max);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_INTEGER_H_
