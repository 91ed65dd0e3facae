// Checked conversion of JSON numbers.
#ifndef POMELOPOND_BASE_INTEGER_H_
#define POMELOPOND_BASE_INTEGER_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/json.h"

namespace pomelopond {

// Returns the number without its fraction, or nothing if `value` is not a number from `min` to
// `max`. `get<int64_t>()` wraps integers and has no defined result for a float out of range.
std::optional<int64_t> IntegerIn(const Json& value, int64_t min, int64_t max);

// These throw Json::out_of_range, whose text begins with `name`, if `value` is not a number from
// `min` to `max`. RequireInteger drops a fraction, RequireWholeNumber also throws for one.
int64_t RequireInteger(const Json& value, std::string_view name, int64_t min, int64_t max);
int64_t RequireWholeNumber(const Json& value, std::string_view name, int64_t min, int64_t max);
double RequireNumber(const Json& value, std::string_view name, double min, double max);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_INTEGER_H_
